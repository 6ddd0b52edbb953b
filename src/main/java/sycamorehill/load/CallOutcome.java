package sycamorehill.load;

/**
 * How a call looked to its caller.
 */
public enum CallOutcome {

	/** The whole answer came. */
	COMPLETED,

	/** The system said that the call was not run. */
	NOT_RUN,

	/** The system said that the call ran and failed. */
	FAILED,

	/** The system said that it can't tell. */
	UNKNOWN,

	/** The connection was refused or broke: the caller can't tell. */
	NO_ANSWER

}
