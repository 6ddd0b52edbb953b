package sycamorehill.model.serving;

/**
 * What may be repeated of a request.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT,

	/** May run once at most. */
	NON_IDEMPOTENT,

	/**
	 * Answered by a stream of numbered events, which may be resumed after the last one.
	 */
	RESUMABLE_STREAM,

	/** Answered by a stream of events that may run once at most. */
	STREAM;

	/**
	 * Whether a request that may have run can be sent to another target.
	 * @return true if a second run does no harm
	 */
	public boolean isRepeatable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Whether the answer is passed on event by event.
	 * @return true for streams
	 */
	public boolean isStreaming() {
		return this == RESUMABLE_STREAM || this == STREAM;
	}

}
