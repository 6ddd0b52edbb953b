package sycamorehill.objectapi;

import java.time.Duration;

import sycamorehill.http.HttpAnswer;

/**
 * Reads the delay of a Retry-After header that is given in seconds. Any other value
 * counts as no delay.
 */
final class RetryAfterHeader {

	private RetryAfterHeader() {
	}

	static Duration read(HttpAnswer answer) {
		try {
			return answer.header("Retry-After").map(Long::parseLong).map(Duration::ofSeconds).orElse(Duration.ZERO);
		}
		catch (NumberFormatException ex) {
			return Duration.ZERO;
		}
	}

}
