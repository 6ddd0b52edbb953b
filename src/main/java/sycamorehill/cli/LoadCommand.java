package sycamorehill.cli;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.load.CallerClient;
import sycamorehill.load.LoadChart;
import sycamorehill.load.LoadReport;
import sycamorehill.load.LoadRunner;
import sycamorehill.load.TargetRuns;
import sycamorehill.runtime.MonotonicClock;
import sycamorehill.settings.LoadSettings;
import sycamorehill.settings.LoadSettingsReader;

/**
 * Puts an open-loop load on running nodes.
 */
@Command(name = "load",
		description = "Open-loop load on running nodes; fails if an answer is not whole, foreign or doubled")
public final class LoadCommand implements CliCommand {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	@Option(name = "--settings", title = "FILE", description = "Settings of the load in INI")
	@Required
	private String settings;

	@Option(name = "--output", title = "FORMAT", description = "text (the standard) or json")
	private OutputFormat output = OutputFormat.text;

	@Option(name = "--plot", title = "FILE", description = "Writes a PNG picture of the times by percentile")
	private String plot = "";

	@Override
	public int run() throws Exception {
		LoadSettings sound = SoundSettings.of(LoadSettingsReader.read(Path.of(this.settings)));
		ObjectMapper json = ModelJson.json();
		MonotonicClock clock = MonotonicClock.start(Clock.systemUTC());
		try (HttpClientPool pool = HttpClientPool.create(CONNECT_TIMEOUT)) {
			CallerClient client = CallerClient.create(pool, clock, json);
			LoadReport report = LoadRunner.create(sound.plan(), client, clock, System.err::println)
				.run(() -> runs(pool, json, sound));
			if (!this.plot.isEmpty()) {
				LoadChart.write(report, Path.of(this.plot));
			}
			System.out.println((this.output == OutputFormat.json)
					? json.writerWithDefaultPrettyPrinter().writeValueAsString(report) : report.text());
			return report.violations().isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
		}
	}

	private static Map<String, Long> runs(HttpClientPool pool, ObjectMapper json, LoadSettings settings) {
		return TargetRuns.byKey(BufferedHttpClient.create(pool), json, settings.plainTargets());
	}

}
