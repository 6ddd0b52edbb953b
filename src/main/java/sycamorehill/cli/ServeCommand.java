package sycamorehill.cli;

import java.nio.file.Path;
import java.time.Clock;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.runtime.Node;
import sycamorehill.runtime.NodeEnd;
import sycamorehill.settings.NodeSettings;
import sycamorehill.settings.NodeSettingsReader;

/**
 * Runs one node until it is told to stop.
 */
@Command(name = "serve", description = "Runs one entry VM's process: gateway, orders, tickets, groups, membership")
public final class ServeCommand implements CliCommand {

	@Option(name = "--settings", title = "FILE", description = "The node's settings in INI")
	@Required
	private String settings;

	@Override
	public int run() throws Exception {
		NodeSettings sound = SoundSettings.of(NodeSettingsReader.read(Path.of(this.settings)));
		Node node = Node.start(sound, Clock.systemUTC());
		StopSignals.install(node::stop);
		NodeEnd end = node.end().get();
		node.close();
		return (end == NodeEnd.STOPPED) ? ExitCode.DONE : ExitCode.REFUSED;
	}

}
