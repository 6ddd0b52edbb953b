package sycamorehill.runtime;

/**
 * How a node ended.
 */
public enum NodeEnd {

	/** A planned stop went through. */
	STOPPED,

	/** An invariant broke; the process can't go on. */
	BROKEN

}
