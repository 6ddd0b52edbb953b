package sycamorehill.model.request;

/**
 * Why a request was not served whole.
 */
public enum RefusalReason {

	/** The request can not be read. */
	BAD_REQUEST,

	/** The workspace key is missing or unknown. */
	UNAUTHENTICATED,

	/** No ticket has created the service. */
	UNKNOWN_SERVICE,

	/** A limit of the workspace. */
	LIMIT_REACHED,

	/** Queues are full. */
	OVERLOADED,

	/** The deadline can not be met. */
	DEADLINE_TOO_SHORT,

	/** No target of the service may be given work. */
	NO_TARGET,

	/** The content has crashed targets. */
	QUARANTINED,

	/** The idempotency key was used with other content. */
	KEY_REUSED,

	/** The order is running under an earlier call. */
	STILL_RUNNING,

	/** The order could not be claimed. */
	ORDER_STORE_UNAVAILABLE,

	/** The node has no truth yet. */
	NODE_NOT_READY,

	/** The node is stopping. */
	NODE_STOPPING,

	/** Every target refused before running it. */
	TARGET_REFUSED,

	/** The target failed while running it. */
	TARGET_FAILED,

	/** The target was lost while running it. */
	TARGET_LOST,

	/** The caller went away. */
	CALLER_GONE

}
