package sycamorehill.settings;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

import sycamorehill.model.identity.Address;

/**
 * Reads values from a text in INI format and collects all faults: missing values, values
 * of the wrong type or out of range, duplicate keys, and unknown keys and sections. A
 * value that is missing or invalid is replaced by its default or a placeholder, so that
 * reading continues and all faults are reported together.
 */
final class SettingsSource {

	private final INIConfiguration configuration;

	private final List<SettingFault> faults = new ArrayList<>();

	private final Set<String> knownKeys = new HashSet<>();

	private final List<SettingDefinition> definitions = new ArrayList<>();

	private final Set<String> knownSections = new TreeSet<>();

	private SettingsSource(INIConfiguration configuration) {
		this.configuration = configuration;
	}

	static SettingsSource read(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IOException ex) {
			SettingsSource source = new SettingsSource(new INIConfiguration());
			source.faults.add(new SettingFault("", "", file.toString(), "the file can't be read: " + ex.getMessage()));
			return source;
		}
	}

	static SettingsSource parse(String text) {
		INIConfiguration configuration = new INIConfiguration();
		SettingsSource source = new SettingsSource(configuration);
		try (Reader reader = new StringReader(text)) {
			configuration.read(reader);
		}
		catch (IOException | ConfigurationException ex) {
			source.faults.add(new SettingFault("", "", "", "the text is not INI: " + ex.getMessage()));
		}
		return source;
	}

	List<String> sections(Predicate<String> filter) {
		return this.configuration.getSections()
			.stream()
			.filter((name) -> name != null && filter.test(name))
			.sorted()
			.toList();
	}

	void addFault(String section, String key, String expected) {
		this.faults.add(new SettingFault(section, key, rawValue(section, key).orElse(""), expected));
	}

	String text(String section, String key, String defaultValue) {
		return value(section, key, "a text", Function.identity(), (text) -> !text.isBlank(), defaultValue);
	}

	String requiredText(String section, String key) {
		return requiredValue(section, key, "a text", Function.identity(), (text) -> !text.isBlank(), "missing");
	}

	Address requiredAddress(String section, String key) {
		return requiredValue(section, key, "HOST:PORT with a port from 1 to 65535", Address::parse, (address) -> true,
				Address.of("127.0.0.1", 1));
	}

	<T> T requiredValue(String section, String key, String expected, Function<String, T> parser, Predicate<T> validator,
			T placeholder) {
		if (rawValue(section, key).isEmpty()) {
			addDefinition(section, key, expected, "");
			addFault(section, key, "missing: expected " + expected);
			return placeholder;
		}
		return value(section, key, expected, parser, validator, placeholder);
	}

	long wholeNumber(String section, String key, long minimum, long maximum, long defaultValue) {
		return value(section, key, "a whole number from " + minimum + " to " + maximum, Long::parseLong,
				(number) -> number >= minimum && number <= maximum, defaultValue);
	}

	double number(String section, String key, double minimum, double maximum, double defaultValue) {
		return value(section, key, "a number from " + minimum + " to " + maximum, Double::parseDouble,
				(number) -> number >= minimum && number <= maximum, defaultValue);
	}

	Duration duration(String section, String key, Duration maximum, Duration defaultValue) {
		return value(section, key, "an ISO 8601 duration such as PT0.5S, not below zero and at most " + maximum,
				SettingsSource::parseDuration, (duration) -> !duration.isNegative() && duration.compareTo(maximum) <= 0,
				defaultValue);
	}

	boolean flag(String section, String key, boolean defaultValue) {
		return value(section, key, "true or false", SettingsSource::parseFlag, (flag) -> true, defaultValue);
	}

	List<String> list(String section, String key, List<String> defaultValue) {
		return value(section, key, "names with commas between them",
				(text) -> Arrays.stream(text.split(",")).map(String::strip).toList(),
				(names) -> names.stream().noneMatch(String::isEmpty) && new HashSet<>(names).size() == names.size(),
				defaultValue);
	}

	<T> T value(String section, String key, String expected, Function<String, T> parser, Predicate<T> validator,
			T defaultValue) {
		addDefinition(section, key, expected, String.valueOf(defaultValue));
		Optional<String> raw = rawValue(section, key);
		if (raw.isEmpty()) {
			return defaultValue;
		}
		try {
			T value = parser.apply(raw.get().strip());
			if (validator.test(value)) {
				return value;
			}
		}
		catch (IllegalArgumentException | DateTimeParseException ex) {
			addFault(section, key, "expected " + expected);
			return defaultValue;
		}
		addFault(section, key, "expected " + expected);
		return defaultValue;
	}

	/**
	 * Checks for unknown sections, unknown keys and duplicate keys, and returns all
	 * faults. Call this after all settings have been read, because a key counts as known
	 * only once it has been read.
	 * @return all faults in the order in which they were found
	 */
	List<SettingFault> collectFaults() {
		for (String section : this.configuration.getSections()) {
			checkSection((section != null) ? section : "");
		}
		return List.copyOf(this.faults);
	}

	private void checkSection(String section) {
		SubnodeConfiguration keys = this.configuration.getSection(section.isEmpty() ? null : section);
		if (!section.isEmpty() && !this.knownSections.contains(section)) {
			this.faults.add(new SettingFault(section, "", "", "no such section; there are " + this.knownSections));
			return;
		}
		keys.getKeys().forEachRemaining((escaped) -> {
			// INIConfiguration escapes a dot within a key by doubling it.
			String key = escaped.replace("..", ".");
			if (!this.knownKeys.contains(section + "/" + key)) {
				addFault(section, key, "no such key");
			}
			else if (keys.getList(escaped).size() > 1) {
				addFault(section, key, "given more than once");
			}
		});
	}

	/**
	 * Returns the definitions of the settings read so far.
	 * @return the definitions in the order in which the settings were read
	 */
	List<SettingDefinition> definitions() {
		return List.copyOf(this.definitions);
	}

	private void addDefinition(String section, String key, String expected, String defaultValue) {
		this.definitions.add(new SettingDefinition(section, key, expected, defaultValue));
		this.knownSections.add(section);
		this.knownKeys.add(section + "/" + key);
	}

	private Optional<String> rawValue(String section, String key) {
		if (!this.configuration.getSections().contains(section)) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.configuration.getSection(section).getString(key.replace(".", "..")));
	}

	private static Duration parseDuration(String text) {
		return Duration.parse(text);
	}

	private static boolean parseFlag(String text) {
		if (text.equals("true") || text.equals("false")) {
			return Boolean.parseBoolean(text);
		}
		throw new IllegalArgumentException("neither true nor false");
	}

}
