package sycamorehill.platform;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a target's report about itself is read from its answers.
 */
class TargetReportHeaderTests {

	private static TargetReport read(HttpResponseStatus status, String header, String value) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(header, value);
		return PlatformExchangeCodec.create().readTargetResponse(response).report();
	}

	private static Optional<RequestRate> readRateLimit(String limit) {
		return read(HttpResponseStatus.OK, "Server-Limit", limit).rateLimit();
	}

	private static Optional<Duration> readRest(HttpResponseStatus status, String seconds) {
		return read(status, "Retry-After", seconds).rest();
	}

	@Test
	void readsDecimalRateLimit() {
		assertThat(readRateLimit("1.4")).contains(new RequestRate(1.4));
		assertThat(readRateLimit("12")).contains(new RequestRate(12));
		assertThat(readRateLimit("0")).contains(new RequestRate(0));
	}

	// Guards against a malformed number that ends the node's thread or keeps a healthy
	// target from receiving requests.
	@ParameterizedTest
	@ValueSource(strings = { "", "none", "-1", "NaN", "1e999", "1,5", "Infinity" })
	void ignoresInvalidRateLimit(String limit) {
		assertThat(readRateLimit(limit)).isEmpty();
	}

	@Test
	void readsEngineLoad() {
		assertThat(read(HttpResponseStatus.OK, "Engine-Load", "3,0,8").load()).contains(new EngineLoad(3, 0, 8));
	}

	// Guards against counts that wrap: a full target would count as idle, or the reverse.
	@ParameterizedTest
	@ValueSource(strings = { "4294967299,0,8", "-1,0,8", "3,-1,8", "3,0,-8", "1e999,0,8", "1e999999999,0,8",
			"2147483648,0,8", "2147483647,2147483647,8", "3,0", "NaN,0,8", ",,", "" })
	void ignoresInvalidEngineLoad(String load) {
		assertThat(read(HttpResponseStatus.OK, "Engine-Load", load).load()).isEmpty();
	}

	// Guards against token counts of a caller that wrap.
	@ParameterizedTest
	@ValueSource(strings = { "4294967299,80", "-1,80", "1460,-80", "1e999999999,80", "2147483647,2147483647" })
	void ignoresInvalidTokenCounts(String counts) {
		DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
		request.headers().set("Token-Usage", counts);
		assertThat(PlatformExchangeCodec.create().readCallerRequest(request).tokenCounts()).isEmpty();
	}

	@Test
	void readsRestOfARefusal() {
		assertThat(readRest(HttpResponseStatus.SERVICE_UNAVAILABLE, "3")).contains(Duration.ofSeconds(3));
		assertThat(readRest(HttpResponseStatus.SERVICE_UNAVAILABLE, "0.25")).contains(Duration.ofMillis(250));
		assertThat(readRest(HttpResponseStatus.TOO_MANY_REQUESTS, "1")).contains(Duration.ofSeconds(1));
		assertThat(readRest(HttpResponseStatus.OK, "3")).isEmpty();
	}

	// Guards against a malformed number that ends the node's thread, or a large one that
	// becomes a negative time.
	@ParameterizedTest
	@ValueSource(strings = { "", "soon", "-1", "NaN", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT" })
	void ignoresInvalidRest(String seconds) {
		assertThat(readRest(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "1e999", "99999999999999999999" })
	void boundsALongRest(String seconds) {
		assertThat(readRest(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds)).contains(Duration.ofDays(1));
	}

}
