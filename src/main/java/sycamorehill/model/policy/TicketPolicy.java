package sycamorehill.model.policy;

/**
 * Bounds of ticket filing and spreading.
 */
public record TicketPolicy() {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static TicketPolicy standard() {
		return new TicketPolicy();
	}

}
