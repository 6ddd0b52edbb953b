package sycamorehill.logic.ticket;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;

/**
 * Names of the objects in which the platform keeps tickets and truth.
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
	 * The name of a ticket's object: names sort as numbers do.
	 * @param number the ticket, 0 for the name before the first
	 * @return the name
	 */
	static String ticketName(long number) {
		return String.format(NUMBER_FORMAT, number);
	}

}
