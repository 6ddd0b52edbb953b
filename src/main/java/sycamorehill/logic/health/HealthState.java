package sycamorehill.logic.health;

/**
 * State of the part: targets put aside and taken back.
 */
public record HealthState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static HealthState initial() {
		return new HealthState();
	}

}
