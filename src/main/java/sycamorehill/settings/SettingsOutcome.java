package sycamorehill.settings;

import java.util.List;

/**
 * The result of reading settings: either valid settings or a list of faults.
 *
 * @param <T> the type of settings
 */
public sealed interface SettingsOutcome<T> {

	/**
	 * The settings are valid.
	 *
	 * @param <T> the type of settings
	 * @param settings the settings
	 */
	record Valid<T>(T settings) implements SettingsOutcome<T> {
	}

	/**
	 * The settings have faults and can't be used.
	 *
	 * @param <T> the type of settings
	 * @param faults every fault found
	 */
	record Invalid<T>(List<SettingFault> faults) implements SettingsOutcome<T> {
	}

}
