package sycamorehill.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the headers of a caller's request are read. All requests of a node wait
 * meanwhile.
 */
@Timeout(value = 1, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerRequestHeaderTests {

	private static final Duration LONGEST_TIME_LEFT = Duration.ofDays(1);

	private static Optional<Duration> readTimeLeft(String value) {
		HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("Deadline-Ms", value);
		return PlatformExchangeCodec.create().readCallerRequest(request).timeLeft();
	}

	@Test
	void readsWholeMilliseconds() {
		assertThat(readTimeLeft("2500")).contains(Duration.ofMillis(2500));
		assertThat(readTimeLeft("2500.9")).contains(Duration.ofMillis(2500));
		assertThat(readTimeLeft("0.9")).contains(Duration.ZERO);
		assertThat(readTimeLeft("-3")).contains(Duration.ofMillis(-3));
		assertThat(readTimeLeft("soon")).isEmpty();
	}

	// A caller names a time with a large exponent: writing out its digits holds up the
	// event loop, and with it every other request, for minutes.
	@ParameterizedTest
	@ValueSource(strings = { "1e9999999", "1e999999999", "9223372036854775807" })
	void aHugeTimeIsLimitedAtOnce(String value) {
		assertThat(readTimeLeft(value)).contains(LONGEST_TIME_LEFT);
	}

	@ParameterizedTest
	@ValueSource(strings = { "1e-9999999", "0e999999999" })
	void aTinyTimeIsReadAtOnce(String value) {
		assertThat(readTimeLeft(value)).contains(Duration.ZERO);
	}

	// An exception while a head is read closes the connection of a request in flight.
	@Test
	void aConnectionHeaderThatNamesAHeaderTwiceIsRead() {
		HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("Connection", "x-hop, close, x-hop").set("X-Hop", "1").set("X-Kept", "2");
		assertThat(PlatformExchangeCodec.create().forwardableHeaders(request).names()).containsExactly("X-Kept");
	}

	private static List<String> readSharedParts(String... values) {
		HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("Prompt-Prefix", List.of(values));
		return PlatformExchangeCodec.create().readCallerRequest(request).sharedPromptParts();
	}

	@Test
	void allPartsOfAPromptButTheLastMayBeShared() {
		assertThat(readSharedParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")).containsExactly("5c1e07a2", "91bd3f06");
		assertThat(readSharedParts("5C1E07A2:800 , 91bd3f06:410")).containsExactly("5c1e07a2");
		assertThat(readSharedParts("5c1e07a2:800", "91bd3f06:410,e4402b7d:250")).containsExactly("5c1e07a2",
				"91bd3f06");
		assertThat(readSharedParts("5c1e07a2:800")).isEmpty();
	}

	// Parts are kept for minutes and sent to all nodes; a caller could fill their memory.
	@Test
	void onlySoManyAndSoLongPartsAreRead() {
		String many = IntStream.range(0, 1000).mapToObj((part) -> part + ":1").collect(Collectors.joining(","));
		assertThat(readSharedParts(many)).hasSizeLessThanOrEqualTo(32);
		assertThat(readSharedParts("a".repeat(10_000) + ":5,b:3,c:4")).containsExactly("b");
		assertThat(readSharedParts(",:,:5,,")).isEmpty();
	}

}
