package sycamorehill.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import sycamorehill.load.LoadPlan;
import sycamorehill.model.identity.Address;

/**
 * Reads settings of a load.
 */
public final class LoadSettingsReader {

	private static final String SECTION = "load";

	private static final double MOST_PER_SECOND = 20_000;

	private static final int MOST_TOKENS = 10_000;

	private static final Duration LONGEST = Duration.ofHours(24);

	private static final Duration STANDARD_DURATION = Duration.ofSeconds(20);

	private static final Duration STANDARD_TIMEOUT = Duration.ofSeconds(10);

	private LoadSettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the settings or every fault
	 */
	public static SettingsOutcome<LoadSettings> read(Path file) {
		return read(SettingsSource.read(file));
	}

	/**
	 * Reads a text.
	 * @param text the settings in INI
	 * @return the settings or every fault
	 */
	public static SettingsOutcome<LoadSettings> parse(String text) {
		return read(SettingsSource.parse(text));
	}

	private static SettingsOutcome<LoadSettings> read(SettingsSource source) {
		List<String> keys = source.list(SECTION, "keys", List.of());
		if (keys.isEmpty()) {
			source.fault(SECTION, "keys", "missing: expected workspace keys with commas between them");
		}
		LoadPlan plan = new LoadPlan(addresses(source, "nodes", true), keys,
				source.text(SECTION, "chat-service", "drafting"), source.text(SECTION, "order-service", "order-desk"),
				source.number(SECTION, "chats-per-second", 0, MOST_PER_SECOND, 30),
				source.number(SECTION, "orders-per-second", 0, MOST_PER_SECOND, 10),
				(int) source.wholeNumber(SECTION, "tokens", 1, MOST_TOKENS, 24),
				source.duration(SECTION, "timeout", LONGEST, STANDARD_TIMEOUT),
				source.duration(SECTION, "duration", LONGEST, STANDARD_DURATION),
				source.wholeNumber(SECTION, "seed", 0, Long.MAX_VALUE, 1));
		LoadSettings settings = new LoadSettings(plan, addresses(source, "plain-targets", false));
		List<SettingFault> faults = source.faults();
		return faults.isEmpty() ? new SettingsOutcome.Sound<>(settings) : new SettingsOutcome.Faulty<>(faults);
	}

	private static List<Address> addresses(SettingsSource source, String key, boolean required) {
		List<Address> addresses = source.value(SECTION, key, "HOST:PORT with commas between",
				(text) -> Arrays.stream(text.split(",")).map(String::strip).map(Address::parse).toList(),
				(found) -> true, List.of());
		if (required && addresses.isEmpty()) {
			source.fault(SECTION, key, "missing: expected HOST:PORT with commas between");
		}
		return addresses;
	}

}
