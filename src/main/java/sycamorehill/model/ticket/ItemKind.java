package sycamorehill.model.ticket;

/**
 * The kinds of items that a ticket can set.
 */
public enum ItemKind {

	/** A service that callers request. */
	SERVICE,

	/** Replicas of a model service in one data centre. */
	MODEL_GROUP,

	/** A workspace with its key and limits. */
	WORKSPACE

}
