package sycamorehill.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.process.PlatformNodes.PlatformNode;
import sycamorehill.process.StreamCaller.StreamAnswer;

/**
 * Signals to processes on the users' platform, with streams in flight.
 */
class SignalSeriesProcessTests {

	private static final int STREAMS = 4;

	private static final int EVENTS = 60;

	private static final Duration BEFORE_FIRST_SIGNAL = Duration.ofMillis(500);

	private static final Duration BETWEEN_SIGNALS = Duration.ofMillis(400);

	private static final List<List<String>> SERIES = List.of(List.of("TERM"), List.of("TERM", "TERM"),
			List.of("TERM", "INT", "TERM"), List.of("HUP", "TERM"), List.of("TERM", "HUP"),
			List.of("TERM", "TERM", "HUP", "TERM", "INT"));

	private final ExecutorService callers = Executors.newCachedThreadPool();

	@TempDir
	private Path folder;

	// Guards against a repeated signal that ends a process within its drain and cuts its
	// streams.
	@Test
	void noSeriesOfSignalsCutsAStream() throws Exception {
		try (PlatformNodes system = PlatformNodes.start(this.folder)) {
			List<PlatformNode> nodes = new ArrayList<>();
			for (int index = 0; index < SERIES.size(); index++) {
				nodes.add(system.startNode("node-" + index));
			}
			for (PlatformNode node : nodes) {
				node.awaitReady();
			}
			List<CompletableFuture<String>> ends = new ArrayList<>();
			for (int index = 0; index < SERIES.size(); index++) {
				PlatformNode node = nodes.get(index);
				List<String> series = SERIES.get(index);
				ends.add(CompletableFuture.supplyAsync(() -> play(node, series), this.callers));
			}
			Map<String, String> results = new TreeMap<>();
			for (int index = 0; index < SERIES.size(); index++) {
				results.put(String.join(" ", SERIES.get(index)), ends.get(index).join());
			}
			Assertions.assertThat(results.values()).as(results.toString()).containsOnly(whole(STREAMS));
		}
	}

	private static String whole(int streams) {
		return streams + " whole, exit 0, drained";
	}

	// The streams begin on kept connections that have served before.
	private String play(PlatformNode node, List<String> series) {
		try {
			List<CompletableFuture<StreamAnswer>> streams = new ArrayList<>();
			for (int stream = 0; stream < STREAMS; stream++) {
				StreamCaller caller = StreamCaller.connect(node.callers());
				Assertions.assertThat(caller.call(1).whole()).isTrue();
				streams.add(CompletableFuture.supplyAsync(() -> caller.call(EVENTS), this.callers));
			}
			Duration pause = BEFORE_FIRST_SIGNAL;
			for (String signal : series) {
				TimeUnit.NANOSECONDS.sleep(pause.toNanos());
				node.process().signal(signal);
				pause = BETWEEN_SIGNALS;
			}
			List<StreamAnswer> answers = streams.stream().map(CompletableFuture::join).toList();
			long whole = answers.stream().filter((answer) -> answer.whole() && answer.events() == EVENTS).count();
			int exit = node.process().awaitExit();
			boolean drained = node.process().output().stream().anyMatch((line) -> line.contains("REQUESTS_DRAINED"));
			return whole + " whole, exit " + exit + (drained ? ", drained" : ", no line");
		}
		catch (Exception ex) {
			return ex.toString();
		}
	}

}
