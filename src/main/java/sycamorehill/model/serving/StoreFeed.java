package sycamorehill.model.serving;

/**
 * Kinds of objects in the store that nodes follow.
 */
public enum StoreFeed {

	/** Configurations. */
	CONFIGURATIONS,

	/** The directory of targets. */
	TARGETS

}
