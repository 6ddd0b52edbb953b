package sycamorehill.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import sycamorehill.support.CutAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers of targets that end at each byte of their heads, framing and bodies, by a
 * close and by a reset, on the callers' kept connections.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutAnswerTests {

	private static final String ONCE = "/once/";

	private static final String AGAIN = "/again/";

	/** More than the cuts that a node meets while it avoids the target of the first. */
	private static final int MORE_TARGETS = 1500;

	private static final int CALLERS = 4;

	/** Of so many cuts one is followed by a sound request on the caller's connection. */
	private static final int CHECKED_CUTS = 3;

	private final AtomicInteger soundRequests = new AtomicInteger();

	private CallerNode node;

	@BeforeAll
	void start() throws Exception {
		this.node = CallerNode.startWithTargets(
				(request, out) -> CutResponder.respond(request, out, RawTarget.responder(LoopbackCluster::hello)),
				MORE_TARGETS);
	}

	@AfterAll
	void close() throws Exception {
		this.node.close();
	}

	static Stream<Arguments> answers() {
		return Stream.of(CutAnswer.values())
			.flatMap((answer) -> Stream.of(Arguments.of(answer, "POST", ONCE), Arguments.of(answer, "GET", AGAIN)));
	}

	// Guards against a cut answer that is framed as a whole one, "not run" for a request
	// that may have run, and an answer for the next request on the caller's connection.
	@ParameterizedTest
	@MethodSource("answers")
	void aCutAnswerIsAFailure(CutAnswer answer, String method, String prefix) {
		List<CutAnswer.Cut> cuts = answer.cuts();
		List<CompletableFuture<List<String>>> callers = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.supplyAsync(() -> {
				List<CutAnswer.Cut> own = IntStream.range(0, cuts.size())
					.filter((index) -> index % CALLERS == caller)
					.mapToObj(cuts::get)
					.toList();
				return ask(own, method, prefix);
			}))
			.toList();
		assertThat(callers.stream().flatMap((faults) -> faults.join().stream())).isEmpty();
		assertThat(this.node.targetRequests().stream().filter((request) -> request.startsWith(method + ' ' + prefix)))
			.extracting(LoopbackCluster::identifier)
			.containsAll(cuts.stream().map(CutAnswer.Cut::identifier).toList());
	}

	private List<String> ask(List<CutAnswer.Cut> cuts, String method, String prefix) {
		List<String> faults = new ArrayList<>();
		try {
			KeptConnection caller = open();
			for (CutAnswer.Cut cut : cuts) {
				caller.send(method, prefix + cut.identifier(), cut.identifier(), method.equals("POST") ? "abc" : "");
				KeptConnection.Answer received = caller.read();
				findFault(cut, prefix.equals(ONCE), received)
					.ifPresent((fault) -> faults.add(cut.identifier() + ": " + fault + received));
				if (!received.whole()) {
					caller.close();
					caller = open();
				}
				else if (cut.bytes() % CHECKED_CUTS == 0) {
					assertNextIsServed(caller);
				}
			}
			caller.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return faults;
	}

	private KeptConnection open() throws IOException {
		return KeptConnection.open(this.node.callerAddress().port());
	}

	private static Optional<String> findFault(CutAnswer.Cut cut, boolean once, KeptConnection.Answer received) {
		boolean promised = received.hasStatus(503) || received.hasStatus(429) || received.hasStatus(421);
		if (cut.answer().isRefusal()) {
			boolean kept = promised || (received.hasStatus(502) && !cut.isWhole());
			boolean early = once && promised && !cut.hasHead();
			return (kept && !early) ? Optional.empty() : Optional.of("a refusal became ");
		}
		if (cut.isWhole()) {
			boolean own = received.hasStatus(cut.answer().status()) && received.whole()
					&& received.body().equals(cut.body());
			return own ? Optional.empty() : Optional.of("a whole answer became ");
		}
		boolean failed = !received.whole() || received.hasStatus(502) || (!once && promised);
		return failed ? Optional.empty() : Optional.of("a part became ");
	}

	private void assertNextIsServed(KeptConnection caller) throws IOException {
		String identifier = "sound" + this.soundRequests.incrementAndGet();
		caller.send(AGAIN + identifier, identifier);
		KeptConnection.Answer received = caller.read();
		assertThat(received.head()).startsWith("HTTP/1.1 200").contains("Attempt-Id: " + identifier + "\r\n");
		assertThat(received.body()).isEqualTo("hello");
	}

}
