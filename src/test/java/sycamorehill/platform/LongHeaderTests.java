package sycamorehill.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import sycamorehill.entry.ExchangeCodec;
import sycamorehill.entry.ForwardingMetadata;
import sycamorehill.model.identity.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the time that heads with long values of headers take on the event loop.
 */
class LongHeaderTests {

	/**
	 * Far beyond what decoders admit: work that grows with the square of a value takes
	 * minutes, linear work milliseconds.
	 */
	private static final int VALUE_LENGTH = 2_000_000;

	private static final Duration MAXIMUM_TIME = Duration.ofSeconds(8);

	private static final List<String> NAMES = List.of("Connection", "Keep-Alive", PlatformHeaders.ENGINE_LOAD,
			PlatformHeaders.RATE_LIMIT, PlatformHeaders.RETRY_AFTER, PlatformHeaders.LEAVING,
			PlatformHeaders.TOKEN_COUNTS, PlatformHeaders.PROMPT_PARTS, PlatformHeaders.TIME_LEFT,
			PlatformHeaders.AUTHORIZATION, PlatformHeaders.ATTEMPT_IDENTIFIER);

	private static final List<String> FILLS = List.of(" ", "\t", ",", "1", "9,", " ,", "a ", ";", "timeout=", "0", "e");

	private final ExchangeCodec codec = PlatformExchangeCodec.create();

	static Stream<Arguments> heads() {
		List<Arguments> heads = new ArrayList<>();
		NAMES.forEach((name) -> FILLS.forEach((fill) -> heads.add(Arguments.of(name, fill))));
		return heads.stream();
	}

	private static HttpHeaders headers(String name, String fill) {
		return new DefaultHttpHeaders(false).add(name,
				"1" + fill.repeat(VALUE_LENGTH / fill.length()) + (isNumber(fill) ? "" : "x"));
	}

	private static boolean isNumber(String fill) {
		return Character.isDigit(fill.charAt(0));
	}

	// Guards against a header of a target or a caller whose reading holds up the event
	// loop for a time that grows with the square of its value.
	@ParameterizedTest
	@MethodSource("heads")
	void aLongValueIsReadInLinearTime(String name, String fill) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE,
				headers(name, fill));
		HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/",
				Unpooled.EMPTY_BUFFER, headers(name, fill), new DefaultHttpHeaders());
		assertThat(CompletableFuture.runAsync(() -> {
			this.codec.readTargetResponse(response);
			this.codec.callerHeaders(response);
			this.codec.readCallerRequest(request);
			this.codec.targetHeaders(request, new ForwardingMetadata(TargetName.of("p1"), Optional.empty(),
					Optional.empty(), 1, Optional.empty(), Optional.empty()));
		})).succeedsWithin(MAXIMUM_TIME);
	}

	// Guards against a header that reaches the other side although the connection header
	// names it.
	@Test
	void headersOfTheConnectionAreDroppedWhateverSeparatesTheirNames() {
		HttpHeaders headers = new DefaultHttpHeaders().add("Connection", "close ,\t X-One,, x-two")
			.add("Connection", "X-Three")
			.add("X-One", "1")
			.add("X-Two", "2")
			.add("X-Three", "3")
			.add("X-Four", "4");
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
		assertThat(this.codec.callerHeaders(response).names()).containsExactly("X-Four");
	}

}
