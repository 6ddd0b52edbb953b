package sycamorehill.settings;

import java.nio.file.Path;
import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.standin.EngineTiming;
import sycamorehill.standin.StandInSettings;

/**
 * Reads the settings of the stand-in processes.
 */
public final class StandInSettingsReader {

	private static final String SECTION = "stand-in";

	private static final String TIMING = "timing";

	private static final int MAXIMUM_PORT = 65535;

	private static final int MAXIMUM_DOMAINS_PER_DATA_CENTRE = 64;

	private static final int MAXIMUM_VMS_PER_DOMAIN = 256;

	private StandInSettingsReader() {
	}

	/**
	 * Reads settings from a file.
	 * @param file path of the INI file
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<StandInSettings> read(Path file) {
		return read(SettingsSource.read(file));
	}

	/**
	 * Reads settings from a text.
	 * @param text the settings in INI format
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<StandInSettings> parse(String text) {
		return read(SettingsSource.parse(text));
	}

	private static SettingsOutcome<StandInSettings> read(SettingsSource source) {
		List<DataCentreName> dataCentres = source.list(SECTION, "data-centres", List.of("fukuoka"))
			.stream()
			.map(DataCentreName::of)
			.toList();
		List<ServiceName> services = source.list(SECTION, "plain-services", List.of("order-desk"))
			.stream()
			.map(ServiceName::of)
			.toList();
		StandInSettings settings = new StandInSettings(source.text(SECTION, "host", "127.0.0.1"),
				(int) source.wholeNumber(SECTION, "platform-port", 0, MAXIMUM_PORT, 0), dataCentres,
				(int) source.wholeNumber(SECTION, "domains-per-data-centre", 1, MAXIMUM_DOMAINS_PER_DATA_CENTRE, 2),
				(int) source.wholeNumber(SECTION, "vms-per-domain", 1, MAXIMUM_VMS_PER_DOMAIN, 3), services,
				PolicySectionReader.read(source, TIMING, EngineTiming.standard()),
				source.wholeNumber(SECTION, "seed", 0, Long.MAX_VALUE, 1));
		List<SettingFault> faults = source.collectFaults();
		return faults.isEmpty() ? new SettingsOutcome.Valid<>(settings) : new SettingsOutcome.Invalid<>(faults);
	}

}
