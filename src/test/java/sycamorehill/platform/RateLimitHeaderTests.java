package sycamorehill.platform;

import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.RequestRate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the rate limit in a target's answer is read.
 */
class RateLimitHeaderTests {

	private static Optional<RequestRate> read(String limit) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers().set("Server-Limit", limit);
		return PlatformExchangeCodec.create().readTargetResponse(response).rateLimit();
	}

	@Test
	void readsDecimalNumber() {
		assertThat(read("1.4")).contains(new RequestRate(1.4));
		assertThat(read("12")).contains(new RequestRate(12));
		assertThat(read("0")).contains(new RequestRate(0));
	}

	// Guards against a malformed number that ends the node's thread or keeps a healthy
	// target from receiving requests.
	@ParameterizedTest
	@ValueSource(strings = { "", "none", "-1", "NaN", "1e999", "1,5", "Infinity" })
	void ignoresInvalidRateLimit(String limit) {
		assertThat(read(limit)).isEmpty();
	}

}
