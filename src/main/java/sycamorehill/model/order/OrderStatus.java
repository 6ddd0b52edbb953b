package sycamorehill.model.order;

/**
 * The status of a claimed order.
 */
public enum OrderStatus {

	/** The holder of the claim may have sent the order to a target. */
	CLAIMED,

	/** The order ran and its answer is recorded. */
	RECORDED,

	/** The order did not run; the key may be claimed again. */
	RELEASED,

	/** It is unknown whether the order ran. */
	UNKNOWN

}
