package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a connection on which what is left of another answer stands before the answer.
 */
class JoinedAnswersTests {

	private static final String OWN = "HTTP/1.1 500 Error\r\nAttempt-Id: two\r\nServer-Signature: s\r\n"
			+ "Content-Length: 6\r\n\r\nfailed";

	private static final int TRIALS = 6;

	private static final List<String> LEFT = List.of(
			"HTTP/1.1 200 OK\r\nAttempt-Id: two\r\nServer-Signature: s\r\nContent-Length: 3\r\n\r",
			"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 1\r\nAttempt-Id: two\r\n\r",
			"HTTP/1.1 200 OK\nAttempt-Id: two\nServer-Signature: s\nX:\n folded\n \n\r",
			"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\nAttempt-Id: two\r\nServer-Signature: s\r\n\r",
			"HTTP/1.1 102 Processing\r\nAttempt-Id: two\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n\t\r\n",
			"HTTP/1.0 200 OK\r\nX: a\r\n\r\n",
			"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nAttempt-Id: two\r\n",
			"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nContent-Length: 30\r\n\r\nHTTP/1.1 200 OK\r\nX: a",
			"HTTP/1.1 204 None\r\nAttempt-Id: one\r\nContent-Length: 5\r\n\r\nhello", "\r\n\r\n \t\0\0",
			"x/1.1 200 OK\r\n", "200 OK\r\nAttempt-Id: two\r\n", "HTTP/1.1 200 OK HTTP/1.1\r\n");

	private final List<String> results = new ArrayList<>();

	private final TargetConnection connection;

	private final EmbeddedChannel channel;

	JoinedAnswersTests() {
		StrictResponseDecoder decoder = StrictResponseDecoder.create();
		this.connection = TargetConnection.of(1, decoder, UnmatchedAnswers.create());
		this.connection.assignTarget(TargetName.of("p1"));
		this.channel = new EmbeddedChannel(AnswerHeadLimit.of(this.connection), decoder, new HttpRequestEncoder(),
				this.connection);
	}

	private void send(String identifier) {
		this.connection.send(
				new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
				ExpectedAnswer.of(identifier, (response) -> Optional.ofNullable(response.headers().get("Attempt-Id")),
						new Recorder()));
	}

	private void receive(String text) {
		if (this.channel.isOpen()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	@AfterEach
	void end() {
		this.channel.finishAndReleaseAll();
	}

	// Guards against a success that is put together from two answers, wherever the first
	// stops and however the bytes arrive.
	@Test
	void nothingLeftMakesASuccessOfAFailure() {
		List<String> wrong = new ArrayList<>();
		Random random = new Random(1);
		for (String left : LEFT) {
			for (int length = 1; length <= left.length(); length++) {
				for (int trial = 0; trial < TRIALS; trial++) {
					String text = left.substring(0, length) + OWN;
					int cut = (trial == 0) ? length : random.nextInt(text.length());
					if (answerStatuses(text, cut).contains("head 200")) {
						wrong.add(left.substring(0, length));
					}
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	private static List<String> answerStatuses(String text, int cut) {
		JoinedAnswersTests reused = new JoinedAnswersTests();
		reused.send("one");
		reused.receive(OWN.replace("two", "one"));
		assertThat(reused.connection.isReusable()).isTrue();
		reused.send("two");
		reused.receive(text.substring(0, cut));
		reused.receive(text.substring(cut));
		reused.end();
		return reused.results;
	}

	// Guards against a connection that fails on bytes before its first request.
	@ParameterizedTest
	@ValueSource(strings = { "x", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n\r\n" })
	void bytesBeforeTheFirstRequestCloseTheConnection(String early) {
		receive(early);
		this.channel.checkException();
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.results).isEmpty();
	}

	// Guards against bytes that stand before the next answer.
	@ParameterizedTest
	@ValueSource(strings = { "x", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", OWN,
			"HTTP/1.1 102 Processing\r\n\r\n" })
	void aConnectionIsNotReusedAfterBytesBehindTheAnswer(String behind) {
		send("two");
		receive(OWN + behind);
		assertThat(this.results).endsWith("end");
		assertThat(this.connection.isReusable()).isFalse();
	}

	// Guards against the status of a left head before a line that has no colon.
	@Test
	void aLeftHeaderNameBeforeABlankMakesNoSuccessOfAFailure() {
		send("one");
		receive(OWN.replace("two", "one"));
		send("two");
		receive("HTTP/1.1 200 OK\r\nServer-Signature " + OWN);
		assertThat(this.results).doesNotContain("head 200");
	}

	// Guards against a success that the target contradicts in another read of the same
	// pass.
	@Test
	void aSuccessIsContradictedInAnotherReadOfThePass() {
		send("two");
		this.channel
			.writeOneInbound(Unpooled.copiedBuffer(OWN.replace("500 Error", "200 OK"), StandardCharsets.ISO_8859_1));
		this.channel.writeOneInbound(Unpooled.copiedBuffer(OWN.substring(0, 30), StandardCharsets.ISO_8859_1));
		this.channel.writeOneInbound(Unpooled.copiedBuffer(OWN.substring(30), StandardCharsets.ISO_8859_1));
		this.channel.flushInbound();
		assertThat(this.results).endsWith("invalid answered 200 and 500");
	}

	// Guards against a success whose contradiction stands behind other answers.
	@Test
	void aSuccessIsContradictedBehindOtherAnswers() {
		send("two");
		receive(OWN.replace("500 Error", "200 OK") + "HTTP/1.1 102 Processing\r\n\r\n" + OWN
				+ OWN.replace("500 Error", "200 OK"));
		assertThat(this.results).endsWith("invalid answered 200 and 500");
	}

	private final class Recorder implements AnswerHandler {

		private HttpResponse head;

		@Override
		public void handleHead(HttpResponse response) {
			this.head = response;
			JoinedAnswersTests.this.results.add("head " + response.status().code());
		}

		@Override
		public void handleBody(ByteBuf bytes) {
			JoinedAnswersTests.this.results.add("body " + bytes.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public boolean isContradictedBy(HttpResponse second) {
			return second.status().code() != this.head.status().code();
		}

		@Override
		public void handleEnd() {
			JoinedAnswersTests.this.results.add("end");
		}

		@Override
		public void handleConnectionLost(String cause) {
			JoinedAnswersTests.this.results.add("lost " + cause);
		}

		@Override
		public void handleInvalidAnswer(String cause) {
			JoinedAnswersTests.this.results.add("invalid " + cause);
		}

	}

}
