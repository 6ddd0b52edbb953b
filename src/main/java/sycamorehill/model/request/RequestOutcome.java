package sycamorehill.model.request;

/**
 * What a request came to: the worst over all its attempts.
 */
public sealed interface RequestOutcome {

	/**
	 * The whole answer reached the traffic thread that writes to the caller.
	 */
	record Completed() implements RequestOutcome {
	}

	/**
	 * The answer of an earlier call with the same idempotency key, given again.
	 *
	 * @param answer the recorded answer
	 */
	record Replayed(RecordedAnswer answer) implements RequestOutcome {
	}

	/**
	 * No target ran the request, and none will.
	 *
	 * @param refusal what the caller hears
	 */
	record NotRun(Refusal refusal) implements RequestOutcome {
	}

	/**
	 * A target ran the request and failed.
	 *
	 * @param refusal what the caller hears
	 */
	record Failed(Refusal refusal) implements RequestOutcome {
	}

	/**
	 * Whether the request ran can not be told.
	 *
	 * @param refusal what the caller hears
	 */
	record Unknown(Refusal refusal) implements RequestOutcome {
	}

}
