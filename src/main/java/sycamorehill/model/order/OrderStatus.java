package sycamorehill.model.order;

/**
 * How far a claimed order is.
 */
public enum OrderStatus {

	/** Claimed by a holder that may have sent it. */
	CLAIMED,

	/** Its answer is recorded. */
	RECORDED,

	/** It certainly did not run; the key may be claimed again. */
	RELEASED,

	/** Whether it ran can not be told. */
	UNKNOWN

}
