package sycamorehill.engine;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import sycamorehill.model.request.AttemptResult;

/**
 * Detects from the headers of an answer that the target refused the request before
 * running it.
 */
final class TargetRefusal {

	private static final String TRUE = "true";

	private TargetRefusal() {
	}

	static Optional<AttemptResult> read(Function<String, Optional<String>> headers, String detail) {
		if (!isTrue(headers.apply(TargetHeaders.NOT_RUN))) {
			return Optional.empty();
		}
		boolean leaving = isTrue(headers.apply(TargetHeaders.LEAVING));
		Duration retryAfter = headers.apply(TargetHeaders.RETRY_AFTER)
			.map(TargetRefusal::parseSeconds)
			.orElse(Duration.ZERO);
		return Optional.of(new AttemptResult.RefusedBeforeRunning(leaving, retryAfter, detail));
	}

	private static boolean isTrue(Optional<String> header) {
		return header.filter(TRUE::equalsIgnoreCase).isPresent();
	}

	private static Duration parseSeconds(String text) {
		try {
			return Duration.ofSeconds(Long.parseLong(text.strip()));
		}
		catch (NumberFormatException ex) {
			return Duration.ZERO;
		}
	}

}
