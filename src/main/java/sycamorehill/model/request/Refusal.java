package sycamorehill.model.request;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller hears when its request is not served whole.
 *
 * @param reason why
 * @param detail one sentence for people
 * @param retryAfter when to come back, if that helps
 */
public record Refusal(RefusalReason reason, String detail, Optional<Duration> retryAfter) {

	/**
	 * A refusal without a time to come back.
	 * @param reason why
	 * @param detail one sentence for people
	 * @return the refusal
	 */
	public static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, Optional.empty());
	}

	/**
	 * A refusal with a time to come back.
	 * @param reason why
	 * @param detail one sentence for people
	 * @param retryAfter when to come back
	 * @return the refusal
	 */
	public static Refusal of(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(reason, detail, Optional.of(retryAfter));
	}

}
