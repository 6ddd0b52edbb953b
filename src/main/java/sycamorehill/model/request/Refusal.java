package sycamorehill.model.request;

import java.time.Duration;
import java.util.Optional;

/**
 * The error answer to a caller whose request was not served completely.
 *
 * @param reason the reason
 * @param detail a message for people, in one sentence
 * @param retryAfter the time after which to retry, if a retry can succeed
 */
public record Refusal(RefusalReason reason, String detail, Optional<Duration> retryAfter) {

	/**
	 * Creates a refusal without a time to retry.
	 * @param reason the reason
	 * @param detail a message for people, in one sentence
	 * @return the refusal
	 */
	public static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, Optional.empty());
	}

	/**
	 * Creates a refusal with a time to retry.
	 * @param reason the reason
	 * @param detail a message for people, in one sentence
	 * @param retryAfter the time after which to retry
	 * @return the refusal
	 */
	public static Refusal of(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(reason, detail, Optional.of(retryAfter));
	}

}
