package sycamorehill.model.serving;

/**
 * State of an engine within its group.
 */
public enum MemberState {

	/** Loads the weights. */
	JOINING,

	/** Holds its part of the model. A head in this state doesn't accept requests yet. */
	READY,

	/** The head accepts requests. */
	OPEN,

	/** The head finishes its running requests and accepts no others. */
	CLOSING,

	/** The head has detected the loss of a member. */
	BROKEN

}
