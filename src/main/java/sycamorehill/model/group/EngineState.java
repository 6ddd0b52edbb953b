package sycamorehill.model.group;

/**
 * What an engine says of itself.
 */
public enum EngineState {

	/** In no group. */
	IDLE,

	/** Joining a group and loading its model. */
	LOADING,

	/** Loaded; serves as part of its group. */
	READY,

	/** The load failed. */
	FAILED

}
