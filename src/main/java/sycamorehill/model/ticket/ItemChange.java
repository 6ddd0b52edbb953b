package sycamorehill.model.ticket;

import java.util.Optional;

/**
 * The change of one item by a ticket.
 *
 * @param key the key of the item
 * @param newState the complete new state; empty removes the item
 * @param lastSetBy the number of the ticket that had set the item last when the operator
 * read it, 0 for an item that did not exist
 */
public record ItemChange(ItemKey key, Optional<Item> newState, long lastSetBy) {

	/**
	 * Treats a missing state as a removal, because every node must be able to apply any
	 * accepted ticket.
	 */
	public ItemChange {
		newState = (newState != null) ? newState : Optional.empty();
	}

	/**
	 * Creates a change that sets an item.
	 * @param item the complete new state
	 * @param lastSetBy the number of the ticket that set the item last, 0 for a new item
	 * @return the change
	 */
	public static ItemChange set(Item item, long lastSetBy) {
		return new ItemChange(item.key(), Optional.of(item), lastSetBy);
	}

	/**
	 * Creates a change that removes an item.
	 * @param key the key of the item
	 * @param lastSetBy the number of the ticket that set the item last
	 * @return the change
	 */
	public static ItemChange remove(ItemKey key, long lastSetBy) {
		return new ItemChange(key, Optional.empty(), lastSetBy);
	}

}
