package sycamorehill.model.ticket;

/**
 * An item of the desired state and the ticket that set it.
 *
 * @param item the complete state of the item
 * @param setBy the number of the ticket that set it
 */
public record AppliedItem(Item item, long setBy) {

}
