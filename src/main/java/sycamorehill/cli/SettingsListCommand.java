package sycamorehill.cli;

import com.github.rvesse.airline.annotations.Command;

import sycamorehill.settings.NodeSettingsReader;
import sycamorehill.settings.SettingDefinition;

/**
 * Lists every setting of a node.
 */
@Command(name = "list", description = "Every setting of a node with its standard value and what is expected")
public final class SettingsListCommand implements CliCommand {

	@Override
	public int run() {
		for (SettingDefinition definition : NodeSettingsReader.definitions()) {
			System.out.printf("[%s] %s = %s (%s)%n", definition.section(), definition.key(), definition.defaultValue(),
					definition.expected());
		}
		return ExitCode.DONE;
	}

}
