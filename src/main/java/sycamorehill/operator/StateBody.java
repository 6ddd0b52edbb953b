package sycamorehill.operator;

import java.util.List;

import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;

/**
 * Holds a desired state in the form in which operators read it.
 *
 * @param number the number of the last ticket in the state
 * @param items all items, each with the ticket that set it, ordered by key
 */
public record StateBody(long number, List<AppliedItem> items) {

	/**
	 * Creates a body with the items of a desired state ordered by key.
	 * @param desiredState the desired state
	 * @return the body
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
