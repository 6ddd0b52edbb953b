package sycamorehill.platform;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.EntrySettings;

/**
 * Reads the settings file that the platform writes for each process.
 */
public final class PlatformSettings {

	/** The environment variable that holds the path of the settings file. */
	public static final String PATH_VARIABLE = "SYCAMOREHILL_CONFIG";

	private static final String ZONE_PREFIX = "zones.";

	private static final String COLD_TARGET_OVERSHOOT = "bounds.warmup_overshoot";

	private static final String COLD_TARGET_SLACK = "bounds.warmup_slack";

	private static final String EVACUATION_TIME = "bounds.evacuate_ms";

	private static final String CPU_SHARE = "limits.cpu_share";

	private static final String CPU_CORES = "limits.cpu_cores";

	private static final String MAXIMUM_DESCRIPTORS = "limits.max_fds";

	/** Limit of most systems for a process. */
	private static final int DEFAULT_DESCRIPTORS = 1024;

	/** Largest number of any setting, so that times can be added up. */
	private static final double MAXIMUM_NUMBER = 4e9;

	private final Properties values;

	private PlatformSettings(Properties values) {
		this.values = values;
	}

	/**
	 * Reads a settings file.
	 * @param path path of the file
	 * @return the settings
	 * @throws IOException if the file can't be read
	 * @throws IllegalArgumentException if a setting is missing or invalid; the message
	 * names the setting
	 */
	public static EntrySettings read(Path path) throws IOException {
		return parse(Files.readString(path));
	}

	/**
	 * Parses the text of a settings file.
	 * @param text the text
	 * @return the settings
	 * @throws IOException if the text can't be read
	 * @throws IllegalArgumentException if a setting is missing or invalid; the message
	 * names the setting
	 */
	public static EntrySettings parse(String text) throws IOException {
		Properties values = new Properties();
		values.load(new StringReader(text));
		return new PlatformSettings(values).toEntrySettings();
	}

	private EntrySettings toEntrySettings() {
		return new EntrySettings(text("node_name"), DataCentreName.of(text("zone")), dataCentres(), processorCores(),
				descriptors(), address("bind.front"), address("bind.ready"), nodeAddress(0), nodeAddress(1),
				address("platform.address"), Boolean.parseBoolean(text("first_start")),
				seconds("bounds.grace_period_s"), seconds("bounds.budget_window_s"),
				number("bounds.retry_budget_ratio"), number("bounds.retry_budget_extra"),
				milliseconds("bounds.stall_ms"), seconds("bounds.ceiling_window_s"), regions(), coldTargetTolerance(),
				this.values.containsKey(EVACUATION_TIME) ? Optional.of(milliseconds(EVACUATION_TIME))
						: Optional.empty());
	}

	private Map<DataCentreName, RegionName> regions() {
		Map<DataCentreName, RegionName> regions = new HashMap<>();
		dataCentres().forEach((dataCentre) -> {
			String region = this.values.getProperty(ZONE_PREFIX + dataCentre.value()).trim();
			if (!region.isEmpty()) {
				regions.put(dataCentre, RegionName.of(region));
			}
		});
		return regions;
	}

	private Optional<ColdTargetTolerance> coldTargetTolerance() {
		boolean configured = this.values.containsKey(COLD_TARGET_OVERSHOOT)
				&& this.values.containsKey(COLD_TARGET_SLACK);
		return configured
				? Optional.of(new ColdTargetTolerance(number(COLD_TARGET_OVERSHOOT), number(COLD_TARGET_SLACK)))
				: Optional.empty();
	}

	private List<DataCentreName> dataCentres() {
		return this.values.stringPropertyNames()
			.stream()
			.filter((name) -> name.startsWith(ZONE_PREFIX))
			.map((name) -> DataCentreName.of(name.substring(ZONE_PREFIX.length())))
			.sorted()
			.toList();
	}

	// Without both settings, the node is assumed to have one processor core.
	private double processorCores() {
		boolean configured = this.values.containsKey(CPU_SHARE) && this.values.containsKey(CPU_CORES);
		return configured ? number(CPU_SHARE) * number(CPU_CORES) : 1;
	}

	private int descriptors() {
		return this.values.containsKey(MAXIMUM_DESCRIPTORS) ? (int) number(MAXIMUM_DESCRIPTORS) : DEFAULT_DESCRIPTORS;
	}

	// The platform leaves this range of ports to the nodes. The first one receives
	// messages, the second one requests of other nodes.
	private Address nodeAddress(int index) {
		String[] range = text("port_range").split(",");
		try {
			int port = Integer.parseInt(range[0].trim()) + index;
			if (port > Integer.parseInt(range[range.length - 1].trim())) {
				throw new IllegalArgumentException("setting 'port_range': a node needs two ports");
			}
			return Address.parse(text("ip") + ':' + port);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException(
					"setting 'port_range': expected two ports, not '" + text("port_range") + "'", ex);
		}
	}

	private String text(String name) {
		String value = this.values.getProperty(name);
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("setting '" + name + "' is missing");
		}
		return value.trim();
	}

	private Address address(String name) {
		try {
			return Address.parse(text(name));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException("setting '" + name + "': " + ex.getMessage(), ex);
		}
	}

	private double number(String name) {
		try {
			double value = Double.parseDouble(text(name));
			if (!Double.isFinite(value) || value < 0 || value > MAXIMUM_NUMBER) {
				throw new IllegalArgumentException("setting '" + name + "': expected 0 or more, and at most "
						+ MAXIMUM_NUMBER + ", not '" + value + "'");
			}
			return value;
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("setting '" + name + "': expected a number, not '" + text(name) + "'",
					ex);
		}
	}

	private Duration seconds(String name) {
		return Duration.ofMillis(Math.round(number(name) * 1000));
	}

	private Duration milliseconds(String name) {
		return Duration.ofMillis(Math.round(number(name)));
	}

}
