package sycamorehill.model.group;

/**
 * The state that an engine reports.
 */
public enum EngineState {

	/** Not in a group. */
	IDLE,

	/** Joining a group and loading its model. */
	LOADING,

	/** Loaded and ready to serve as a member of its group. */
	READY,

	/** The load failed. */
	FAILED

}
