package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.support.RecordedLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of a target that answers some requests twice.
 */
class SecondAnswerTests {

	private static final String SECOND_BODY = "second";

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private void start(RawTarget.Responder responder) throws Exception {
		this.node = CallerNode.start(responder);
	}

	private static String answer(String status, String identifier, String body) {
		return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + identifier + "\r\nServer-Signature: s\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	// Guards against second answers that leave no trace.
	@Test
	void aSecondAnswerIsLoggedWithItsConnection() throws Exception {
		start((request, out) -> {
			String identifier = LoopbackCluster.identifier(request);
			write(out, answer("200 OK", identifier, "first"));
			write(out, answer("200 OK", identifier, SECOND_BODY));
			return true;
		});
		assertThat(this.node.ask("/once/x", "twice")).endsWith("first");
		assertThat(RecordedLog.await("ANSWER_UNMATCHED", "identifier=twice ", "answered=twice")).singleElement()
			.asString()
			.containsPattern(" target=p1 connection=\\d+/1 status=200 ");
		assertThat(this.node.metrics()).contains("targets_unmatched_answers 1.0");
	}

}
