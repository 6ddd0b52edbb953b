package sycamorehill.model.ticket;

/**
 * An item and the ticket behind it.
 *
 * @param item the whole state
 * @param setBy the number of the ticket that set it
 */
public record AppliedItem(Item item, long setBy) {

}
