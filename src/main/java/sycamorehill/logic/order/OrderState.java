package sycamorehill.logic.order;

/**
 * State of the part: at-most-once orders by claims.
 */
public record OrderState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static OrderState initial() {
		return new OrderState();
	}

}
