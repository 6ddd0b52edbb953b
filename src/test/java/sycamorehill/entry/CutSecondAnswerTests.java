package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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

	private static final String SECOND_REFUSAL = "HTTP/1.1 503 Full\r\nAttempt-Id: two\r\nNot-Executed: 1\r\n"
			+ "Content-Length: 3\r\n";

	private static final String SUCCESS = "200 OK";

	private static final String FAILURE = "500 Error";

	private static final int MAXIMUM_POLLS = 400;

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
			RawTarget.write(out,
					answer(request, first ? SUCCESS : FAILURE) + ((first && pauseMillis == 0) ? left : ""));
			if (first && pauseMillis > 0) {
				RawTarget.pause(pauseMillis);
				RawTarget.write(out, left);
			}
			return true;
		});
	}

	private void startSecondHeadBeforeNextAnswer(String left, String nextStatus) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			boolean first = isFirst(request, out);
			RawTarget.write(out, (first ? "" : left) + answer(request, first ? SUCCESS : nextStatus));
			return true;
		});
	}

	private boolean isFirst(String request, OutputStream out) {
		return this.requests.merge(out, 1, Integer::sum) == 1 && LoopbackCluster.identifier(request).equals("one");
	}

	private static String answer(String request, String status) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n";
	}

	// The next request is sent after the node has seen the beginning of the second head.
	private String askTwice(String path, long pauseMillis) throws Exception {
		assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 200 OK");
		for (int polls = 0; pauseMillis > 0 && polls < MAXIMUM_POLLS && !isSecondHeadSeen(); polls++) {
			RawTarget.pause(pauseMillis);
		}
		String answer = this.node.ask(path, "two");
		this.node.close();
		return answer;
	}

	private boolean isSecondHeadSeen() throws IOException {
		return this.node.metrics().contains("targets_unmatched_answers 1.0");
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
			startSecondHeadBeforeNextAnswer(SECOND_HEAD.substring(0, length), FAILURE);
			String answer = askTwice(path, 0);
			if (answer.startsWith("HTTP/1.1 2")) {
				successes.add(length + ": " + answer);
			}
		}
		assertThat(successes).isEmpty();
	}

	// Guards against "not run" for an order that the target answers as done.
	@Test
	void anOrderThatRanIsNotToldNotRun() throws Exception {
		List<String> promises = new ArrayList<>();
		for (int length = 1; length <= SECOND_REFUSAL.length(); length++) {
			startSecondHeadBeforeNextAnswer(SECOND_REFUSAL.substring(0, length), SUCCESS);
			String answer = askTwice("/once/x", 0);
			if (!answer.startsWith("HTTP/1.1 200 OK") && !answer.startsWith("HTTP/1.1 502")) {
				promises.add(length + ": " + answer);
			}
		}
		assertThat(promises).isEmpty();
	}

}
