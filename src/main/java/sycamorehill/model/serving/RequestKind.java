package sycamorehill.model.serving;

/**
 * Kind of a request, which decides whether it may be repeated.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT,

	/** May run at most once. */
	NON_IDEMPOTENT,

	/**
	 * Answered by a stream of numbered events, which can be resumed after the last one.
	 */
	RESUMABLE_STREAM,

	/** Answered by a stream of events and may run at most once. */
	STREAM;

	/**
	 * Returns whether a request that may have run can be sent to another target.
	 * @return true if a second run does no harm
	 */
	public boolean isRepeatable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Returns whether the answer is forwarded event by event.
	 * @return true for streams
	 */
	public boolean isStreaming() {
		return this == RESUMABLE_STREAM || this == STREAM;
	}

}
