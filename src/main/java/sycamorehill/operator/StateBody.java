package sycamorehill.operator;

import java.util.List;

import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;

/**
 * The current truth as operators read it.
 *
 * @param number the last ticket that is in force
 * @param items every item with the ticket that set it, by key
 */
public record StateBody(long number, List<AppliedItem> items) {

	/**
	 * Orders the items of a truth.
	 * @param truth the truth
	 * @return its items by key
	 */
	public static StateBody of(DesiredState truth) {
		return new StateBody(truth.number(),
				truth.items()
					.values()
					.stream()
					.sorted((one, other) -> one.item().key().compareTo(other.item().key()))
					.toList());
	}

}
