package sycamorehill.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.settings.StandInSettingsReader;
import sycamorehill.standin.StandInCluster;

/**
 * Runs the stand-ins of all outside systems.
 */
@Command(name = "stand-in",
		description = "Stand-ins of platform, VM list, weight store, engines and plain services, with fault switches over HTTP")
public final class StandInCommand implements ServingCommand {

	@Option(name = "--settings", title = "FILE", description = "Settings of the stand-ins in INI")
	@Required
	private String settings;

	@Override
	public int serve(ServingProcess process) throws Exception {
		try (StandInCluster cluster = StandInCluster
			.start(SoundSettings.of(StandInSettingsReader.read(Path.of(this.settings))))) {
			System.out.println("platform " + cluster.platformAddress());
			cluster.engines()
				.forEach((engine) -> System.out.println("engine " + engine.name() + " " + engine.address()));
			cluster.plainTargets()
				.forEach((service, targets) -> targets.forEach((target) -> System.out
					.println("plain " + service + " " + target.name() + " " + target.address())));
			System.out.flush();
			CountDownLatch stop = new CountDownLatch(1);
			process.signals().ignoreReload();
			process.signals().onStop(stop::countDown);
			stop.await();
			process.end().setCause("stopped");
		}
		return ExitCode.DONE;
	}

}
