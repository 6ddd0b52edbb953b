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
 * Reads one policy record: its section is named for the record, its keys for the record's
 * components, and what the section leaves out keeps its standard value. So a bound that
 * the decisions use can't be forgotten in the settings.
 */
final class PolicySection {

	private static final Duration LONGEST = Duration.ofDays(400);

	private static final long MOST = 1_000_000_000_000L;

	private final SettingsSource source;

	private final String section;

	private PolicySection(SettingsSource source, String section) {
		this.source = source;
		this.section = section;
	}

	static <T extends Record> T read(SettingsSource source, String section, T standard) {
		return new PolicySection(source, section).read("", standard);
	}

	static String key(String componentName) {
		return componentName.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
	}

	private <T extends Record> T read(String prefix, T standard) {
		RecordComponent[] components = standard.getClass().getRecordComponents();
		Object[] values = Arrays.stream(components)
			.map((component) -> value(prefix + key(component.getName()), component, present(component, standard)))
			.toArray();
		return construct(standard, components, values);
	}

	private Object value(String key, RecordComponent component, Object present) {
		if (present instanceof Duration duration) {
			return this.source.duration(this.section, key, LONGEST, duration);
		}
		if (present instanceof Double number) {
			return this.source.number(this.section, key, 0, MOST, number);
		}
		if (present instanceof Long number) {
			return this.source.wholeNumber(this.section, key, 0, MOST, number);
		}
		if (present instanceof Integer number) {
			return (int) this.source.wholeNumber(this.section, key, 0, Integer.MAX_VALUE, number);
		}
		if (present instanceof Boolean flag) {
			return this.source.flag(this.section, key, flag);
		}
		if (present instanceof RepairRules || present instanceof List<?>) {
			return present;
		}
		if (present instanceof Record nested) {
			return read(key + "-", nested);
		}
		throw new IllegalStateException("no settings type for " + component);
	}

	private static Object present(RecordComponent component, Record standard) {
		try {
			return component.getAccessor().invoke(standard);
		}
		catch (IllegalAccessException | InvocationTargetException ex) {
			throw new IllegalStateException("a policy record must be public: " + component, ex);
		}
	}

	@SuppressWarnings("unchecked")
	private <T extends Record> T construct(T standard, RecordComponent[] components, Object[] values) {
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> constructor = standard.getClass().getDeclaredConstructor(types);
			return (T) constructor.newInstance(values);
		}
		catch (InvocationTargetException ex) {
			this.source.fault(this.section, "", "the values contradict each other: " + ex.getCause().getMessage());
			return standard;
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("a policy record must be public: " + standard.getClass(), ex);
		}
	}

}
