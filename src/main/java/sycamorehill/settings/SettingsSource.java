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
 * Reads values out of an INI text and gathers every fault: what is missing, of the wrong
 * type, out of range, given twice or not known at all.
 */
final class SettingsSource {

	private final INIConfiguration configuration;

	private final List<SettingFault> faults = new ArrayList<>();

	private final Set<String> knownKeys = new HashSet<>();

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

	List<String> sections(Predicate<String> wanted) {
		return this.configuration.getSections()
			.stream()
			.filter((name) -> name != null && wanted.test(name))
			.sorted()
			.toList();
	}

	void fault(String section, String key, String expected) {
		this.faults.add(new SettingFault(section, key, raw(section, key).orElse(""), expected));
	}

	String text(String section, String key, String standard) {
		return value(section, key, "a text", Function.identity(), (text) -> !text.isBlank(), standard);
	}

	String requiredText(String section, String key) {
		return required(section, key, "a text", Function.identity(), (text) -> !text.isBlank(), "missing");
	}

	Address requiredAddress(String section, String key) {
		return required(section, key, "HOST:PORT with a port from 1 to 65535", Address::parse, (address) -> true,
				Address.of("127.0.0.1", 1));
	}

	<T> T required(String section, String key, String expected, Function<String, T> parse, Predicate<T> sound,
			T substitute) {
		if (raw(section, key).isEmpty()) {
			know(section, key);
			fault(section, key, "missing: expected " + expected);
			return substitute;
		}
		return value(section, key, expected, parse, sound, substitute);
	}

	long wholeNumber(String section, String key, long least, long most, long standard) {
		return value(section, key, "a whole number from " + least + " to " + most, Long::parseLong,
				(number) -> number >= least && number <= most, standard);
	}

	double number(String section, String key, double least, double most, double standard) {
		return value(section, key, "a number from " + least + " to " + most, Double::parseDouble,
				(number) -> number >= least && number <= most, standard);
	}

	Duration duration(String section, String key, Duration longest, Duration standard) {
		return value(section, key, "an ISO 8601 duration such as PT0.5S, not below zero and at most " + longest,
				SettingsSource::parseDuration, (duration) -> !duration.isNegative() && duration.compareTo(longest) <= 0,
				standard);
	}

	boolean flag(String section, String key, boolean standard) {
		return value(section, key, "true or false", SettingsSource::parseFlag, (flag) -> true, standard);
	}

	List<String> list(String section, String key, List<String> standard) {
		return value(section, key, "names with commas between them",
				(text) -> Arrays.stream(text.split(",")).map(String::strip).toList(),
				(names) -> names.stream().noneMatch(String::isEmpty) && new HashSet<>(names).size() == names.size(),
				standard);
	}

	<T> T value(String section, String key, String expected, Function<String, T> parse, Predicate<T> sound,
			T standard) {
		know(section, key);
		Optional<String> raw = raw(section, key);
		if (raw.isEmpty()) {
			return standard;
		}
		try {
			T value = parse.apply(raw.get().strip());
			if (sound.test(value)) {
				return value;
			}
		}
		catch (IllegalArgumentException | DateTimeParseException ex) {
			fault(section, key, "expected " + expected);
			return standard;
		}
		fault(section, key, "expected " + expected);
		return standard;
	}

	/**
	 * Adds what was given but never asked for, and all given twice.
	 * @return every fault, by section and key
	 */
	List<SettingFault> faults() {
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
			String key = escaped.replace("..", ".");
			if (!this.knownKeys.contains(section + "/" + key)) {
				fault(section, key, "no such key");
			}
			else if (keys.getList(escaped).size() > 1) {
				fault(section, key, "given more than once");
			}
		});
	}

	private void know(String section, String key) {
		this.knownSections.add(section);
		this.knownKeys.add(section + "/" + key);
	}

	private Optional<String> raw(String section, String key) {
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
