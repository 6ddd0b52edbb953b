package sycamorehill.model.group;

/**
 * How an order to an engine ended.
 */
public enum EngineCommandResult {

	/** The engine took the order. */
	ACCEPTED,

	/** The engine had seen a higher fencing number. */
	REFUSED_FENCED,

	/** The engine refused for another reason. */
	REFUSED,

	/** No answer: it may have been taken or may still be. */
	NOT_KNOWN

}
