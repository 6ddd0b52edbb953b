package sycamorehill.logic.request;

/**
 * What becomes of one frame of an answer.
 */
public enum FrameStatus {

	/** The token goes to the caller. */
	DELIVER,

	/** It belongs to an attempt that was given up or has ended, or to no attempt. */
	STALE,

	/** The caller has this index already. */
	DUPLICATE,

	/** An index is missing before it: the attempt is broken. */
	GAP,

	/** The end mark, and every token before it was delivered. */
	COMPLETE,

	/** An end mark that does not fit what was delivered: the attempt is broken. */
	TRUNCATED

}
