package sycamorehill.model.request;

/**
 * Tells whether a request may be sent to targets more than once.
 */
public enum Idempotency {

	/** Idempotent: may be retried. */
	REPEATABLE,

	/** Not idempotent and without an idempotency key: one attempt, no retry. */
	ONCE_WITHOUT_KEY,

	/**
	 * Not idempotent, with an idempotency key: the key is claimed before the only
	 * attempt.
	 */
	ONCE_WITH_KEY

}
