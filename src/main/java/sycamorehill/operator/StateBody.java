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
	 * @param desiredState the truth
	 * @return its items by key
	 */
	public static StateBody of(DesiredState desiredState) {
		return new StateBody(desiredState.number(),
				desiredState.items()
					.values()
					.stream()
					.sorted((first, second) -> first.item().key().compareTo(second.item().key()))
					.toList());
	}

}
