package sycamorehill.logic.ticket;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;

/**
 * Creates the names of the platform objects that store the tickets and the snapshot of
 * the desired state.
 */
final class TicketObjectNames {

	static final ObjectKey SNAPSHOT = ObjectKey.of(ObjectKind.SNAPSHOT, "truth");

	private static final String NUMBER_FORMAT = "%012d";

	private TicketObjectNames() {
	}

	static ObjectKey ticketKey(long number) {
		return ObjectKey.of(ObjectKind.TICKET, ticketName(number));
	}

	/**
	 * Returns the object name of a ticket. The names sort in the order of the numbers.
	 * @param number the ticket number, 0 for a name that sorts before the first ticket
	 * @return the name
	 */
	static String ticketName(long number) {
		return String.format(NUMBER_FORMAT, number);
	}

}
