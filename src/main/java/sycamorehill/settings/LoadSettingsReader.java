package sycamorehill.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import sycamorehill.load.LoadPlan;
import sycamorehill.model.identity.Address;

/**
 * Reads the settings of a load generator run.
 */
public final class LoadSettingsReader {

	private static final String SECTION = "load";

	private static final double MAXIMUM_REQUESTS_PER_SECOND = 20_000;

	private static final int MAXIMUM_TOKENS = 10_000;

	private static final Duration MAXIMUM_DURATION = Duration.ofHours(24);

	private static final Duration DEFAULT_DURATION = Duration.ofSeconds(20);

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	private LoadSettingsReader() {
	}

	/**
	 * Reads settings from a file.
	 * @param file path of the INI file
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<LoadSettings> read(Path file) {
		return read(SettingsSource.read(file));
	}

	/**
	 * Reads settings from a text.
	 * @param text the settings in INI format
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<LoadSettings> parse(String text) {
		return read(SettingsSource.parse(text));
	}

	private static SettingsOutcome<LoadSettings> read(SettingsSource source) {
		List<String> keys = source.list(SECTION, "keys", List.of());
		if (keys.isEmpty()) {
			source.addFault(SECTION, "keys", "missing: expected workspace keys with commas between them");
		}
		LoadPlan plan = new LoadPlan(addresses(source, "nodes", true), keys,
				source.text(SECTION, "chat-service", "drafting"), source.text(SECTION, "order-service", "order-desk"),
				source.number(SECTION, "chats-per-second", 0, MAXIMUM_REQUESTS_PER_SECOND, 30),
				source.number(SECTION, "orders-per-second", 0, MAXIMUM_REQUESTS_PER_SECOND, 10),
				(int) source.wholeNumber(SECTION, "tokens", 1, MAXIMUM_TOKENS, 24),
				source.duration(SECTION, "timeout", MAXIMUM_DURATION, DEFAULT_TIMEOUT),
				source.duration(SECTION, "duration", MAXIMUM_DURATION, DEFAULT_DURATION),
				source.wholeNumber(SECTION, "seed", 0, Long.MAX_VALUE, 1));
		LoadSettings settings = new LoadSettings(plan, addresses(source, "plain-targets", false));
		List<SettingFault> faults = source.collectFaults();
		return faults.isEmpty() ? new SettingsOutcome.Valid<>(settings) : new SettingsOutcome.Invalid<>(faults);
	}

	private static List<Address> addresses(SettingsSource source, String key, boolean required) {
		List<Address> addresses = source.value(SECTION, key, "HOST:PORT with commas between",
				(text) -> Arrays.stream(text.split(",")).map(String::strip).map(Address::parse).toList(),
				(parsed) -> true, List.of());
		if (required && addresses.isEmpty()) {
			source.addFault(SECTION, key, "missing: expected HOST:PORT with commas between");
		}
		return addresses;
	}

}
