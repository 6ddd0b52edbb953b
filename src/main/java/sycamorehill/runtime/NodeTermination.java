package sycamorehill.runtime;

/**
 * Tells how a node ended.
 */
public enum NodeTermination {

	/** The node completed a planned shutdown. */
	STOPPED,

	/** An invariant was violated, and the node shut down. */
	FAILED

}
