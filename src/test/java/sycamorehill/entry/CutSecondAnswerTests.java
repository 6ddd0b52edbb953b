package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of a target that begins to answer a request once more and stops
 * within the head, while the connection stays open.
 */
class CutSecondAnswerTests {

	private static final String SECOND_HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: two\r\nServer-Signature: s\r\n"
			+ "Content-Length: 3\r\n";

	/** The number of the last request on each connection to the target. */
	private final Map<OutputStream, Integer> requests = new ConcurrentHashMap<>();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private void startSecondHead(String left, long pauseMillis) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			boolean first = isFirst(request, out);
			write(out, answer(request, first) + ((first && pauseMillis == 0) ? left : ""));
			if (first && pauseMillis > 0) {
				pause(pauseMillis);
				write(out, left);
			}
			return true;
		});
	}

	private void startSecondHeadBeforeNextAnswer(String left) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			boolean first = isFirst(request, out);
			write(out, (first ? "" : left) + answer(request, first));
			return true;
		});
	}

	private boolean isFirst(String request, OutputStream out) {
		return this.requests.merge(out, 1, Integer::sum) == 1 && LoopbackCluster.identifier(request).equals("one");
	}

	private static String answer(String request, boolean success) {
		return "HTTP/1.1 " + (success ? "200 OK" : "500 Error") + "\r\nAttempt-Id: "
				+ LoopbackCluster.identifier(request) + "\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n";
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String askTwice(String path, long pauseMillis) throws Exception {
		assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 200 OK");
		pause(2 * pauseMillis);
		String answer = this.node.ask(path, "two");
		this.node.close();
		return answer;
	}

	// Guards against a success that is put together from two answers of the target.
	@ParameterizedTest
	@CsvSource({ "/once/x,0", "/once/x,5", "/again/x,0", "/again/x,5" })
	void theNextRequestGetsNoSuccessWhereTheTargetFails(String path, long pauseMillis) throws Exception {
		List<String> others = new ArrayList<>();
		for (int length = 1; length <= SECOND_HEAD.length(); length++) {
			startSecondHead(SECOND_HEAD.substring(0, length), pauseMillis);
			String answer = askTwice(path, pauseMillis);
			if (!answer.startsWith("HTTP/1.1 500 Error")) {
				others.add(length + ": " + answer);
			}
		}
		assertThat(others).isEmpty();
	}

	// Guards against the same while the next request already waits on the connection.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void aWaitingRequestGetsNoSuccessWhereTheTargetFails(String path) throws Exception {
		List<String> successes = new ArrayList<>();
		for (int length = 1; length <= SECOND_HEAD.length(); length++) {
			startSecondHeadBeforeNextAnswer(SECOND_HEAD.substring(0, length));
			String answer = askTwice(path, 0);
			if (answer.startsWith("HTTP/1.1 2")) {
				successes.add(length + ": " + answer);
			}
		}
		assertThat(successes).isEmpty();
	}

}
