package sycamorehill.settings;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;

/**
 * Reads one policy record: its section is named for the record, its keys for the record's
 * components, and what the section leaves out keeps its standard value. So a bound that
 * the decisions use can't be forgotten in the settings.
 */
final class PolicySection {

	private static final Duration LONGEST = Duration.ofDays(400);

	private static final long MOST = 1_000_000_000_000L;

	private PolicySection() {
	}

	static <T extends Record> T read(SettingsSource source, String section, T standard) {
		RecordComponent[] components = standard.getClass().getRecordComponents();
		Object[] values = Arrays.stream(components)
			.map((component) -> value(source, section, component, standard))
			.toArray();
		return construct(standard, components, values, source, section);
	}

	static String key(String componentName) {
		return componentName.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
	}

	private static Object value(SettingsSource source, String section, RecordComponent component, Record standard) {
		Object present = read(component, standard);
		String key = key(component.getName());
		if (present instanceof Duration duration) {
			return source.duration(section, key, LONGEST, duration);
		}
		if (present instanceof Double number) {
			return source.number(section, key, 0, MOST, number);
		}
		if (present instanceof Long number) {
			return source.wholeNumber(section, key, 0, MOST, number);
		}
		if (present instanceof Integer number) {
			return (int) source.wholeNumber(section, key, 0, Integer.MAX_VALUE, number);
		}
		if (present instanceof Boolean flag) {
			return source.flag(section, key, flag);
		}
		throw new IllegalStateException("no settings type for " + component);
	}

	private static Object read(RecordComponent component, Record standard) {
		try {
			return component.getAccessor().invoke(standard);
		}
		catch (IllegalAccessException | InvocationTargetException ex) {
			throw new IllegalStateException("a policy record must be public: " + component, ex);
		}
	}

	@SuppressWarnings("unchecked")
	private static <T extends Record> T construct(T standard, RecordComponent[] components, Object[] values,
			SettingsSource source, String section) {
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> constructor = standard.getClass().getDeclaredConstructor(types);
			return (T) constructor.newInstance(values);
		}
		catch (InvocationTargetException ex) {
			source.fault(section, "", "the values contradict each other: " + ex.getCause().getMessage());
			return standard;
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("a policy record must be public: " + standard.getClass(), ex);
		}
	}

}
