package sycamorehill.runtime;

/**
 * How a node ended.
 */
public enum NodeTermination {

	/** A planned stop went through. */
	STOPPED,

	/** An invariant broke; the process can't go on. */
	FAILED

}
