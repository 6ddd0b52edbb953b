package sycamorehill.model.ticket;

/**
 * The whole state of one item.
 */
public sealed interface Item permits ServiceItem, ModelGroupItem, WorkspaceItem {

	/**
	 * The key under which the item stands in the truth.
	 * @return the key
	 */
	ItemKey key();

}
