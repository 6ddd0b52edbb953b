package sycamorehill.logic.request;

/**
 * Status of one frame of an answer, which decides whether it is delivered.
 */
public enum FrameStatus {

	/** The token is the next one and is delivered to the caller. */
	DELIVER,

	/**
	 * The frame does not belong to the current attempt, or the answer is already
	 * complete. It is dropped.
	 */
	STALE,

	/** The caller has already received the token with this index. */
	DUPLICATE,

	/** A token before this one is missing, so the attempt has failed. */
	GAP,

	/** The end mark arrived after all tokens were delivered. */
	COMPLETE,

	/**
	 * The end mark does not match the number of delivered tokens, so the attempt has
	 * failed.
	 */
	TRUNCATED

}
