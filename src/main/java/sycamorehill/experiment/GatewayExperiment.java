package sycamorehill.experiment;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.HdrHistogram.Histogram;

import sycamorehill.engine.AttemptListener;
import sycamorehill.engine.CompletionCall;
import sycamorehill.engine.HttpEngine;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.load.CallOutcome;
import sycamorehill.load.CallResult;
import sycamorehill.load.CallerClient;
import sycamorehill.load.ChatCall;
import sycamorehill.local.LocalSystem;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Priority;
import sycamorehill.runtime.MonotonicClock;

/**
 * What the gateway adds to the time to the first token: the same prompts sent to a
 * stand-in engine directly and through a node, in turn, in one run.
 */
public final class GatewayExperiment {

	private static final int WARM_UP = 100;

	private static final int CALLS = 400;

	private static final int TOKENS = 8;

	private static final int DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000.0;

	private static final Duration PATIENCE = Duration.ofSeconds(10);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final MonotonicClock clock = MonotonicClock.start(Clock.systemUTC());

	private final ObjectMapper json = ModelJson.json();

	private GatewayExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @return the table
	 * @throws Exception if the local system can't start
	 */
	public static String run() throws Exception {
		return new GatewayExperiment().measure();
	}

	private String measure() throws Exception {
		try (LocalSystem system = LocalSystem.start(); HttpClientPool pool = HttpClientPool.create(CONNECT_TIMEOUT)) {
			system.fileFirstTicket();
			system.awaitServing();
			HttpEngine engines = HttpEngine.create(pool, this.json);
			Head head = head(system, engines);
			CallerClient callers = CallerClient.create(pool, this.clock, this.json);
			Address node = system.nodes().get(0).settings().callerAddress();
			Histogram direct = new Histogram(DIGITS);
			Histogram through = new Histogram(DIGITS);
			for (int number = 0; number < WARM_UP + CALLS; number++) {
				long directMicros = micros(direct(engines, head, number));
				long throughMicros = micros(through(callers, node, number));
				if (number >= WARM_UP) {
					direct.recordValue(directMicros);
					through.recordValue(throughMicros);
				}
			}
			return table(direct, through);
		}
	}

	private Head head(LocalSystem system, HttpEngine engines) {
		for (var entry : system.standIns().engines()) {
			VmReport report = engines.readReport(entry.address()).join();
			if (report.state() == EngineState.READY && report.group().isPresent()
					&& isHead(engines, entry.address(), report)) {
				return new Head(entry.address(), report.group().get());
			}
		}
		throw new IllegalStateException("no engine is ready");
	}

	private boolean isHead(HttpEngine engines, Address address, VmReport report) {
		return direct(engines, new Head(address, report.group().orElseThrow()), 0) != null;
	}

	private Duration direct(HttpEngine engines, Head head, int number) {
		Instant start = this.clock.instant();
		CompletableFuture<Duration> first = new CompletableFuture<>();
		CompletableFuture<Boolean> whole = new CompletableFuture<>();
		AttemptIdentifier attempt = AttemptIdentifier.of(NodeIncarnation.of(NodeName.of("experiment"), 1), number);
		CompletionCall call = new CompletionCall(attempt, head.group().generation(), "user: " + prompt(number), TOKENS,
				0, Priority.NORMAL, PATIENCE);
		engines.complete(head.address(), call, new AttemptListener() {

			@Override
			public void handleToken(int index, String token) {
				first.complete(Duration.between(start, GatewayExperiment.this.clock.instant()));
			}

			@Override
			public void handleEnd(AttemptResult result) {
				whole.complete(result instanceof AttemptResult.Completed);
			}

		});
		return whole.join() ? first.join() : null;
	}

	private Duration through(CallerClient callers, Address node, int number) {
		ChatCall chat = new ChatCall("stable-key-1", "drafting", prompt(number), TOKENS, "normal", PATIENCE);
		CallResult result = callers.chat(node, chat, this.clock.instant()).join();
		if (result.outcome() != CallOutcome.COMPLETED) {
			throw new IllegalStateException("a call did not complete: " + result);
		}
		return result.firstToken().orElseThrow();
	}

	private static String prompt(int number) {
		return "question " + number;
	}

	private static long micros(Duration time) {
		return time.toNanos() / 1000;
	}

	private static String table(Histogram direct, Histogram through) {
		List<String> lines = new ArrayList<>();
		lines.add("| time to the first token | direct, ms | through a node, ms | added, ms | ratio |");
		lines.add("| --- | --- | --- | --- | --- |");
		for (double percentile : new double[] { 50, 95, 99 }) {
			double straight = direct.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
			double routed = through.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
			lines.add(String.format("| %.0f in 100 | %.2f | %.2f | %.2f | %.2f |", percentile, straight, routed,
					routed - straight, routed / straight));
		}
		return String.join(System.lineSeparator(), lines);
	}

	private record Head(Address address, GroupIdentity group) {

	}

}
