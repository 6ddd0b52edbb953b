package sycamorehill.model.request;

/**
 * The reason why a request was not served completely.
 */
public enum RefusalReason {

	/** The request is malformed. */
	BAD_REQUEST,

	/** The workspace key is missing or unknown. */
	UNAUTHENTICATED,

	/** The desired state has no such service. */
	UNKNOWN_SERVICE,

	/** A limit of the workspace is reached. */
	LIMIT_REACHED,

	/** The queue is full or too long. */
	OVERLOADED,

	/** The deadline cannot be met. */
	DEADLINE_TOO_SHORT,

	/** No target of the service can receive the request. */
	NO_TARGET,

	/** The content has crashed targets and is quarantined. */
	QUARANTINED,

	/** The idempotency key was used before with different content. */
	KEY_REUSED,

	/** An earlier request with the same idempotency key is still running. */
	STILL_RUNNING,

	/** The idempotency key could not be claimed. */
	ORDER_STORE_UNAVAILABLE,

	/** The node has no desired state yet. */
	NODE_NOT_READY,

	/** The node is stopping. */
	NODE_STOPPING,

	/** Each target that was tried refused the request before running it. */
	TARGET_REFUSED,

	/** The target failed while running the request. */
	TARGET_FAILED,

	/** The connection to the target was lost while it ran the request. */
	TARGET_LOST,

	/** The caller disconnected. */
	CALLER_GONE

}
