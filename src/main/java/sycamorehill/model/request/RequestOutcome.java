package sycamorehill.model.request;

/**
 * The outcome of a request: the worst result of all its attempts.
 */
public sealed interface RequestOutcome {

	/**
	 * The traffic thread that writes to the caller received the complete answer.
	 */
	record Completed() implements RequestOutcome {
	}

	/**
	 * The recorded answer of an earlier request with the same idempotency key is
	 * replayed.
	 *
	 * @param answer the recorded answer
	 */
	record Replayed(RecordedAnswer answer) implements RequestOutcome {
	}

	/**
	 * No target ran the request or will run it.
	 *
	 * @param refusal the error answer to the caller
	 */
	record NotRun(Refusal refusal) implements RequestOutcome {
	}

	/**
	 * A target ran the request and failed.
	 *
	 * @param refusal the error answer to the caller
	 */
	record Failed(Refusal refusal) implements RequestOutcome {
	}

	/**
	 * It is unknown whether the request ran.
	 *
	 * @param refusal the error answer to the caller
	 */
	record Unknown(Refusal refusal) implements RequestOutcome {
	}

}
