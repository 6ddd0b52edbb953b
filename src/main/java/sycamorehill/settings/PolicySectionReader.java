package sycamorehill.settings;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import sycamorehill.model.policy.RepairRules;

/**
 * Reads a section of the settings into a record. The keys are derived from the names of
 * the record's components, so that no parameter of a record can be left out of the
 * settings by mistake; only lists and repair rules are skipped. A key that the section
 * omits keeps its default value.
 */
final class PolicySectionReader {

	private static final Duration MAXIMUM_DURATION = Duration.ofDays(400);

	private static final long MAXIMUM_NUMBER = 1_000_000_000_000L;

	private final SettingsSource source;

	private final String section;

	private PolicySectionReader(SettingsSource source, String section) {
		this.source = source;
		this.section = section;
	}

	static <T extends Record> T read(SettingsSource source, String section, T defaults) {
		return new PolicySectionReader(source, section).read("", defaults);
	}

	static String key(String componentName) {
		return componentName.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
	}

	private <T extends Record> T read(String prefix, T defaults) {
		RecordComponent[] components = defaults.getClass().getRecordComponents();
		Object[] values = Arrays.stream(components)
			.map((component) -> value(prefix + key(component.getName()), component, defaultOf(component, defaults)))
			.toArray();
		return construct(defaults, components, values);
	}

	private Object value(String key, RecordComponent component, Object defaultValue) {
		if (defaultValue instanceof Duration duration) {
			return this.source.duration(this.section, key, MAXIMUM_DURATION, duration);
		}
		if (defaultValue instanceof Double number) {
			return this.source.number(this.section, key, 0, MAXIMUM_NUMBER, number);
		}
		if (defaultValue instanceof Long number) {
			return this.source.wholeNumber(this.section, key, 0, MAXIMUM_NUMBER, number);
		}
		if (defaultValue instanceof Integer number) {
			return (int) this.source.wholeNumber(this.section, key, 0, Integer.MAX_VALUE, number);
		}
		if (defaultValue instanceof Boolean flag) {
			return this.source.flag(this.section, key, flag);
		}
		if (defaultValue instanceof RepairRules || defaultValue instanceof List<?>) {
			return defaultValue;
		}
		if (defaultValue instanceof Record nested) {
			return read(key + "-", nested);
		}
		throw new IllegalStateException("unsupported type of a settings component: " + component);
	}

	private static Object defaultOf(RecordComponent component, Record defaults) {
		try {
			return component.getAccessor().invoke(defaults);
		}
		catch (IllegalAccessException | InvocationTargetException ex) {
			throw new IllegalStateException("a policy record must be public: " + component, ex);
		}
	}

	@SuppressWarnings("unchecked")
	private <T extends Record> T construct(T defaults, RecordComponent[] components, Object[] values) {
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> constructor = defaults.getClass().getDeclaredConstructor(types);
			return (T) constructor.newInstance(values);
		}
		catch (InvocationTargetException ex) {
			this.source.addFault(this.section, "", "the values contradict each other: " + ex.getCause().getMessage());
			return defaults;
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("a policy record must be public: " + defaults.getClass(), ex);
		}
	}

}
