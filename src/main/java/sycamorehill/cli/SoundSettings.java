package sycamorehill.cli;

import java.util.stream.Collectors;

import sycamorehill.settings.SettingFault;
import sycamorehill.settings.SettingsOutcome;

/**
 * Takes settings only if they are sound.
 */
final class SoundSettings {

	private SoundSettings() {
	}

	static <T> T of(SettingsOutcome<T> outcome) {
		if (outcome instanceof SettingsOutcome.Valid<T> sound) {
			return sound.settings();
		}
		String faults = ((SettingsOutcome.Invalid<T>) outcome).faults()
			.stream()
			.map(SettingFault::toString)
			.collect(Collectors.joining("\n  "));
		throw CommandException.of(ExitCode.BAD_USAGE, "the settings have faults:\n  " + faults);
	}

}
