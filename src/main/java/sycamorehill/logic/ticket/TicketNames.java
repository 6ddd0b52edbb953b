package sycamorehill.logic.ticket;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;

/**
 * Names of the objects in which the platform keeps tickets and truth.
 */
final class TicketNames {

	static final ObjectKey SNAPSHOT = ObjectKey.of(ObjectKind.SNAPSHOT, "truth");

	private static final String NUMBER_FORMAT = "%012d";

	private TicketNames() {
	}

	static ObjectKey ticket(long number) {
		return ObjectKey.of(ObjectKind.TICKET, name(number));
	}

	/**
	 * The name of a ticket's object: names sort as numbers do.
	 * @param number the ticket, 0 for the name before the first
	 * @return the name
	 */
	static String name(long number) {
		return String.format(NUMBER_FORMAT, number);
	}

}
