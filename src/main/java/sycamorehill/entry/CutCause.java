package sycamorehill.entry;

/**
 * Why this node closed a connection on which a request had been read and its answer was
 * not complete.
 */
enum CutCause {

	/** The request was given up after its answer had started. */
	GAVE_UP,

	/** A part of the answer could not be encoded. */
	WRITE_FAILED,

	/** Handling the connection failed, for another reason than the network. */
	CONNECTION_FAILED,

	/** The caller took no byte of the answer for the idle timeout. */
	IDLE_TIMER,

	/** A stopping node exits at its time limit. */
	DRAIN_BOUND,

	/**
	 * The request arrived behind another one whose answer closes the connection; it was
	 * not started.
	 */
	BEHIND_LAST_ANSWER

}
