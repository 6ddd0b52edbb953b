package sycamorehill.logic.routing;

/**
 * State of the part: the choice of a target.
 */
public record RoutingState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static RoutingState initial() {
		return new RoutingState();
	}

}
