package sycamorehill.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.settings.NodeSettings;
import sycamorehill.settings.NodeSettingsReader;

/**
 * Checks a settings file.
 */
@Command(name = "check",
		description = "Every fault in a node's settings file, with section, key, value and what was expected")
public final class SettingsCheckCommand implements CliCommand {

	@Arguments(title = "FILE", description = "A node's settings in INI")
	@Required
	private String file;

	@Override
	public int run() {
		NodeSettings settings = SoundSettings.of(NodeSettingsReader.read(Path.of(this.file)));
		System.out.println("sound: node " + settings.name() + " in " + settings.dataCentre());
		return ExitCode.DONE;
	}

}
