package sycamorehill.model.serving;

/**
 * Where an engine stands in its group.
 */
public enum MemberState {

	/** Loads the weights. */
	JOINING,

	/** Holds its part of the model; a head in this state serves nothing yet. */
	READY,

	/** The head takes requests. */
	OPEN,

	/** The head finishes what it has. */
	CLOSING,

	/** The head has found a member lost. */
	BROKEN

}
