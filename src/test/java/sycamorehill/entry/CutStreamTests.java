package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests streams whose answers end at each byte, by a close and by a reset: first ones,
 * and those with which another engine resumes a stream.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutStreamTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s\r\n";

	private static final String EVENT = "id: %d\ndata: e%d\n\n";

	private static final String RESUMED = "Last-Event-Id: ";

	private static final int LAST_EVENT = 4;

	/** Number of the first event that a second engine sends. */
	private static final int FIRST_RESUMED = 3;

	private static final int MORE_TARGETS = 700;

	private static final int CALLERS = 4;

	private CallerNode node;

	@BeforeAll
	void start() throws Exception {
		this.node = CallerNode.startWithTargets(CutStreamTests::respond, MORE_TARGETS);
	}

	@AfterAll
	void close() throws Exception {
		this.node.close();
	}

	private static boolean respond(String request, OutputStream out) throws IOException {
		StreamCut cut = StreamCut.parse(LoopbackCluster.identifier(request));
		if (cut.resumed() && !request.contains(RESUMED)) {
			CutResponder.write(out, LoopbackCluster.events(request, 1, FIRST_RESUMED - 1, false).replace("\0", ""));
			return false;
		}
		String sent = cut.sent();
		int head = sent.indexOf("\r\n\r\n") + 4;
		if (head > 3 && head < sent.length()) {
			CutResponder.write(out, sent.substring(0, head));
			sent = sent.substring(head);
		}
		CutResponder.write(out, sent);
		if (cut.isWhole() && cut.chunks()) {
			return true;
		}
		CutResponder.end(out, cut.reset(), cut.bytes() % 2 == 0);
		return false;
	}

	static Stream<Arguments> ways() {
		return Stream.of(Arguments.of(true, true), Arguments.of(true, false), Arguments.of(false, true),
				Arguments.of(false, false));
	}

	// Guards against a stream that ends as complete before its last event.
	@ParameterizedTest
	@MethodSource("ways")
	void aCutStreamDoesNotLookComplete(boolean resumed, boolean chunks) {
		List<StreamCut> cuts = StreamCut.all(resumed, chunks);
		List<CompletableFuture<List<String>>> callers = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.supplyAsync(() -> findFaults(IntStream.range(0, cuts.size())
				.filter((index) -> index % CALLERS == caller)
				.mapToObj(cuts::get)
				.toList())))
			.toList();
		assertThat(callers.stream().flatMap((faults) -> faults.join().stream())).isEmpty();
		List<String> sent = this.node.targetRequests()
			.stream()
			.filter((request) -> !resumed || request.contains(RESUMED))
			.map(LoopbackCluster::identifier)
			.toList();
		assertThat(sent).containsAll(cuts.stream().map(StreamCut::identifier).toList());
	}

	private List<String> findFaults(List<StreamCut> cuts) {
		List<String> faults = new ArrayList<>();
		for (StreamCut cut : cuts) {
			String received = ask(cut);
			boolean complete = received.startsWith("HTTP/1.1 200") && received.endsWith("\r\n0\r\n\r\n");
			boolean own = received.lines()
				.filter((line) -> line.startsWith("data: "))
				.toList()
				.equals(IntStream.rangeClosed(1, cut.lastEvent()).mapToObj((number) -> "data: e" + number).toList());
			if (complete != cut.isWhole() || (complete && !own)) {
				faults.add(cut + ": " + received);
			}
		}
		return faults;
	}

	private String ask(StreamCut cut) {
		try {
			return this.node.ask((cut.resumed() ? "/stream/" : "/single/") + cut.identifier(), cut.identifier());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * A cut of a stream.
	 *
	 * @param resumed whether a second engine sends it
	 * @param chunks whether it has chunks, rather than ending with its connection
	 * @param bytes number of bytes that are sent
	 * @param reset whether the connection is then reset, rather than closed
	 */
	private record StreamCut(boolean resumed, boolean chunks, int bytes, boolean reset) {

		static List<StreamCut> all(boolean resumed, boolean chunks) {
			int length = new StreamCut(resumed, chunks, 0, false).text().length();
			List<StreamCut> cuts = new ArrayList<>();
			for (int bytes = 0; bytes <= length; bytes++) {
				cuts.add(new StreamCut(resumed, chunks, bytes, false));
				if (bytes < length || !chunks) {
					cuts.add(new StreamCut(resumed, chunks, bytes, true));
				}
			}
			return cuts;
		}

		String identifier() {
			return "s-%s-%s-%04d-%s".formatted(this.resumed ? "r" : "f", this.chunks ? "c" : "u", this.bytes,
					this.reset ? "r" : "f");
		}

		static StreamCut parse(String identifier) {
			String[] fields = identifier.split("-");
			return new StreamCut(fields[1].equals("r"), fields[2].equals("c"), Integer.parseInt(fields[3]),
					fields[4].equals("r"));
		}

		private String text() {
			StringBuilder text = new StringBuilder(HEAD.formatted(identifier()))
				.append(this.chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
			for (int number = first(); number <= LAST_EVENT; number++) {
				String event = EVENT.formatted(number, number);
				text.append(this.chunks ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event);
			}
			return text.append(this.chunks ? "0\r\n\r\n" : "").toString();
		}

		private int first() {
			return this.resumed ? FIRST_RESUMED : 1;
		}

		String sent() {
			return text().substring(0, this.bytes);
		}

		boolean isWhole() {
			boolean betweenEvents = sent().endsWith("\n\n") && lastEvent() >= first();
			return this.chunks ? this.bytes == text().length() : betweenEvents && !this.reset;
		}

		int lastEvent() {
			return this.chunks ? LAST_EVENT
					: first() - 1 + (int) sent().lines().filter((line) -> line.startsWith("data: ")).count();
		}

	}

}
