package sycamorehill.settings;

import java.util.List;

/**
 * What came of reading settings.
 *
 * @param <T> the type of settings
 */
public sealed interface SettingsOutcome<T> {

	/**
	 * The settings are sound.
	 *
	 * @param <T> the type of settings
	 * @param settings the settings
	 */
	record Valid<T>(T settings) implements SettingsOutcome<T> {
	}

	/**
	 * The settings can't be used.
	 *
	 * @param <T> the type of settings
	 * @param faults every fault found
	 */
	record Invalid<T>(List<SettingFault> faults) implements SettingsOutcome<T> {
	}

}
