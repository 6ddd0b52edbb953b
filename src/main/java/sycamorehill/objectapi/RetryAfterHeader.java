package sycamorehill.objectapi;

import java.time.Duration;

import sycamorehill.http.HttpAnswer;

/**
 * Reads the header Retry-After in its form in seconds.
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
