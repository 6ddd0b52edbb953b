package sycamorehill.cli;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import sycamorehill.entry.EntryNode;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.platform.PlatformAdapter;
import sycamorehill.platform.PlatformSettings;
import sycamorehill.runtime.Node;
import sycamorehill.runtime.NodeTermination;
import sycamorehill.settings.NodeSettings;
import sycamorehill.settings.NodeSettingsReader;

/**
 * Runs one node until it is told to stop.
 */
@Command(name = "serve", description = "Runs one entry VM's process: gateway, orders, tickets, groups, membership")
public final class ServeCommand implements ServingCommand {

	@Option(name = "--settings", title = "FILE",
			description = "The node's settings in INI; without it the users' platform names its own settings file")
	private String settings;

	@Option(name = "--run-for", title = "DURATION",
			description = "On the users' platform: end at once after this time, as when the build records the classes of a start")
	private String runFor;

	@Override
	public int serve(ServingProcess process) throws Exception {
		return (this.settings != null) ? serveFromFile(process) : serveOnPlatform(process);
	}

	private int serveOnPlatform(ServingProcess process) throws Exception {
		String path = System.getenv(PlatformSettings.PATH_VARIABLE);
		if (path == null) {
			throw CommandException.of(ExitCode.BAD_USAGE,
					"give --settings FILE, or set " + PlatformSettings.PATH_VARIABLE);
		}
		SettingsFile file = SettingsFile.read(Path.of(path));
		EntrySettings sound = file.settings();
		EntryNode node = EntryNode.start(sound, (client) -> PlatformAdapter.createPorts(sound, client),
				Clock.systemUTC(), RandomGenerator.getDefault());
		process.end().setRequestsInFlight(node::requestsInFlight);
		process.signals().onStop(node::stop);
		file.watch(process.signals(), node::reload);
		if (this.runFor != null) {
			ArchivedClasses.load();
			return awaitStop(process, node, Duration.parse(this.runFor));
		}
		int cut = node.whenStopped().get();
		process.end().setCause((cut == 0) ? "drained" : "the stop reached its bound");
		return ExitCode.DONE;
	}

	private static int awaitStop(ServingProcess process, EntryNode node, Duration maximum) throws Exception {
		try {
			node.whenStopped().get(maximum.toMillis(), TimeUnit.MILLISECONDS);
			process.end().setCause("drained");
		}
		catch (TimeoutException ex) {
			process.end().setCause("--run-for is over");
		}
		return ExitCode.DONE;
	}

	private int serveFromFile(ServingProcess process) throws Exception {
		NodeSettings sound = SoundSettings.of(NodeSettingsReader.read(Path.of(this.settings)));
		Node node = Node.start(sound, Clock.systemUTC());
		process.end().setRequestsInFlight(node::requestsInFlight);
		process.signals().ignoreReload();
		process.signals().onStop(node::stop);
		NodeTermination end = node.whenStopped().get();
		process.end().setCause((end == NodeTermination.STOPPED) ? "drained" : "an invariant is broken");
		node.close();
		return (end == NodeTermination.STOPPED) ? ExitCode.DONE : ExitCode.REFUSED;
	}

}
