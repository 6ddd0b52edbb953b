package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the search for a second answer within a body.
 */
class JoinedAnswersWorkTests {

	/** The largest body that is held. */
	private static final int BODY_BYTES = 16 * 1024 * 1024;

	private static final Duration MAXIMUM_TIME = Duration.ofSeconds(5);

	private static boolean containsAnswer(String body, String identifier) {
		ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1);
		return JoinedAnswers.containsAnswer(content, identifier);
	}

	// Guards against a body that holds up the event loop because much of it is read again
	// for each status line.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 ", "HTTP/1.1 200 a", "HT", "H", "HTTP/1.1 200 HTTP/1.1 " })
	void aLargeBodyIsSearchedInLinearTime(String part) {
		String body = part.repeat(BODY_BYTES / part.length());
		assertThat(CompletableFuture.runAsync(() -> {
			assertThat(containsAnswer(body, "request")).isFalse();
			assertThat(containsAnswer(body, "a".repeat(8000) + "b")).isFalse();
		})).succeedsWithin(MAXIMUM_TIME);
	}

	// Guards against a second answer that is not found where the identifier stands before
	// the status line as well, or far behind an earlier one.
	@ParameterizedTest
	@CsvSource({ "one HTTP/1.1 500 Error one,true", "HTTP/1.1 500 Error one,true", "one HTTP/1.1 500 Error,false",
			"one,false", "HTTP/1.1 500 Error two,false", "HTTP/1.1 50 one,false" })
	void anAnswerIsFoundByItsStatusLineAndIdentifier(String body, boolean found) {
		assertThat(containsAnswer(body, "one")).isEqualTo(found);
	}

	@Test
	void anIdentifierFarBehindAStatusLineBelongsToALaterOne() {
		String far = "HTTP/1.1 200 OK" + "x".repeat(9000);
		assertThat(containsAnswer(far + "one", "one")).isFalse();
		assertThat(containsAnswer(far + "HTTP/1.1 500 Error one", "one")).isTrue();
		assertThat(containsAnswer(far + "one" + far + "HTTP/1.1 500 Error one", "one")).isTrue();
	}

}
