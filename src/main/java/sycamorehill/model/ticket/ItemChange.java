package sycamorehill.model.ticket;

import java.util.Optional;

/**
 * One item as a ticket sets it.
 *
 * @param key the item
 * @param newState its whole new state; empty removes the item
 * @param lastSetBy the number of the ticket that the filer saw as having set the item
 * last, 0 for an item that did not exist
 */
public record ItemChange(ItemKey key, Optional<Item> newState, long lastSetBy) {

	/**
	 * Reads a missing state as a removal: every node must be able to fold any accepted
	 * ticket in.
	 */
	public ItemChange {
		newState = (newState != null) ? newState : Optional.empty();
	}

	/**
	 * Sets an item.
	 * @param item the whole new state
	 * @param lastSetBy the ticket that set it last, 0 for none
	 * @return the change
	 */
	public static ItemChange set(Item item, long lastSetBy) {
		return new ItemChange(item.key(), Optional.of(item), lastSetBy);
	}

	/**
	 * Removes an item.
	 * @param key the item
	 * @param lastSetBy the ticket that set it last
	 * @return the change
	 */
	public static ItemChange remove(ItemKey key, long lastSetBy) {
		return new ItemChange(key, Optional.empty(), lastSetBy);
	}

}
