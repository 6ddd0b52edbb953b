package sycamorehill.logic.health;

/**
 * Reason for the ejection of a target.
 */
enum EjectionReason {

	/** Connections to the target or requests on it failed. */
	FAILED,

	/** The target was much slower than the other targets of its service. */
	SLOW

}
