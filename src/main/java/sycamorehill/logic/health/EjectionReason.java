package sycamorehill.logic.health;

/**
 * Why a target gets no work for a while.
 */
enum EjectionReason {

	/** Its connections or its requests failed. */
	FAILED,

	/** It was much slower than its siblings. */
	SLOW

}
