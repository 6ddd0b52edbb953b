package sycamorehill.model.request;

/**
 * How often a request may be sent to targets.
 */
public enum Idempotency {

	/** Idempotent: may be sent again. */
	REPEATABLE,

	/** Not idempotent and without a key: one attempt, no retry. */
	ONCE_WITHOUT_KEY,

	/** Not idempotent with a key: claimed before its one attempt. */
	ONCE_WITH_KEY

}
