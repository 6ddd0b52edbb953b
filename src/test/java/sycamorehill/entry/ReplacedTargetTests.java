package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers that end with their connection, of targets that are replaced by another
 * process at the same address, and of sound targets.
 */
class ReplacedTargetTests {

	private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

	private static final String NO_REPORT = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

	/** Longer than another process needs to listen at the address. */
	private static final int LONG_MILLIS = 400;

	private final AtomicInteger questions = new AtomicInteger();

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private static String head(String request) {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nServer-Signature: s\r\nConnection: close\r\n\r\n";
	}

	private static boolean answer(String request, OutputStream out) throws IOException {
		CutResponder.write(out, head(request) + "whole");
		return false;
	}

	private static boolean answerLate(String request, OutputStream out) throws IOException {
		sleep();
		return answer(request, out);
	}

	private static boolean stream(String request, OutputStream out) throws IOException {
		CutResponder.write(out, head(request) + "id: 1\ndata: e1\n\n");
		sleep();
		CutResponder.write(out, "id: 2\ndata: e2\n\n");
		return false;
	}

	private static boolean streamLate(String request, OutputStream out) throws IOException {
		sleep();
		return stream(request, out);
	}

	private static void sleep() throws IOException {
		try {
			Thread.sleep(LONG_MILLIS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private void startWithoutReports(RawTarget.Responder answers) throws Exception {
		this.node = CallerNode.startWithoutReports((request, out) -> {
			if (!RawTarget.isQuestion(request)) {
				return answers.respond(request, out);
			}
			CutResponder.write(out, NO_REPORT);
			return true;
		});
	}

	// Guards against a part of an answer that passes for the whole because another
	// process
	// listens at the address of the one that crashed.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x" })
	void anAnswerOfAProcessThatWasReplacedIsNotWhole(String path) throws Exception {
		this.node = CallerNode.startWithoutReports(RawTarget.withReports(ReplacedTargetTests::answer, 2));
		assertThat(this.node.ask(path, "replaced")).startsWith("HTTP/1.1 502");
	}

	// Guards against the same in streams.
	@ParameterizedTest
	@ValueSource(strings = { "/single/x", "/stream/x" })
	void aStreamOfAProcessThatWasReplacedIsNotWhole(String path) throws Exception {
		this.node = CallerNode.startWithoutReports(RawTarget.withReports(ReplacedTargetTests::stream, 2));
		assertThat(this.node.ask(path, "replaced")).startsWith("HTTP/1.1 200")
			.contains("data: e2")
			.doesNotEndWith(LAST_CHUNK);
	}

	// Guards against the same at targets that don't report their start.
	@Test
	void aStreamWhoseTargetEndsAllConnectionsIsNotWhole() throws Exception {
		this.node = CallerNode.startWithoutReports((request, out) -> {
			if (!RawTarget.isQuestion(request)) {
				return stream(request, out);
			}
			boolean afterCrash = this.questions.incrementAndGet() > 1;
			CutResponder.write(out, afterCrash ? NO_REPORT : "");
			return afterCrash;
		});
		assertThat(this.node.ask("/single/x", "crashed")).contains("data: e2").doesNotEndWith(LAST_CHUNK);
	}

	// Guards against the same where the whole answer comes at once, held up by a cut
	// path.
	@Test
	void aLateAnswerOfATargetWithoutReportsIsNotWhole() throws Exception {
		startWithoutReports(ReplacedTargetTests::answerLate);
		assertThat(this.node.ask("/once/x", "late")).startsWith("HTTP/1.1 502");
	}

	// Guards against whole answers that are given up because the target has no reports.
	@Test
	void anAnswerOfASoundTargetWithoutReportsIsWhole() throws Exception {
		startWithoutReports(ReplacedTargetTests::answer);
		assertThat(this.node.ask("/once/x", "sound")).startsWith("HTTP/1.1 200").endsWith("whole");
	}

	// Guards against whole streams that are given up because the target has no reports.
	@Test
	void aStreamOfASoundTargetWithoutReportsIsWhole() throws Exception {
		startWithoutReports(ReplacedTargetTests::stream);
		assertThat(this.node.ask("/single/x", "sound")).contains("data: e2").endsWith(LAST_CHUNK);
	}

	// Guards against the same where the first event comes late.
	@Test
	void aLateStreamOfASoundTargetWithoutReportsIsWhole() throws Exception {
		startWithoutReports(ReplacedTargetTests::streamLate);
		assertThat(this.node.ask("/single/x", "sound")).contains("data: e2").endsWith(LAST_CHUNK);
	}

	// Guards against late answers that are given up although the target reports its
	// start.
	@Test
	void aLateAnswerOfATargetThatReportsItsStartIsWhole() throws Exception {
		this.node = CallerNode.start(ReplacedTargetTests::answerLate);
		assertThat(this.node.ask("/once/x", "late")).startsWith("HTTP/1.1 200").endsWith("whole");
	}

}
