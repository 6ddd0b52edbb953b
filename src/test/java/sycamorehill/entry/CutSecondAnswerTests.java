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

	private void start(String left, long pauseMillis) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			boolean first = this.requests.merge(out, 1, Integer::sum) == 1
					&& LoopbackCluster.identifier(request).startsWith("one");
			String answer = "HTTP/1.1 " + (first ? "200 OK" : "500 Error") + "\r\nAttempt-Id: "
					+ LoopbackCluster.identifier(request) + "\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n";
			if (pauseMillis > 0) {
				write(out, answer);
				pause(pauseMillis);
				write(out, first ? left : "");
			}
			else {
				write(out, answer + (first ? left : ""));
			}
			return true;
		});
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

	// Guards against a success that is put together from two answers of the target.
	@ParameterizedTest
	@CsvSource({ "/once/x,0", "/once/x,5", "/again/x,0", "/again/x,5" })
	void theNextRequestGetsNoSuccessWhereTheTargetFails(String path, long pauseMillis) throws Exception {
		List<String> successes = new ArrayList<>();
		for (int length = 1; length <= SECOND_HEAD.length(); length++) {
			start(SECOND_HEAD.substring(0, length), pauseMillis);
			assertThat(this.node.ask(path, "one")).startsWith("HTTP/1.1 200 OK");
			pause(2 * pauseMillis);
			String answer = this.node.ask(path, "two");
			if (!answer.startsWith("HTTP/1.1 500 Error")) {
				successes.add(length + ": " + answer);
			}
			this.node.close();
		}
		assertThat(successes).isEmpty();
	}

}
