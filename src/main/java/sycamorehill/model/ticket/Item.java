package sycamorehill.model.ticket;

/**
 * The complete state of one item.
 */
public sealed interface Item permits ServiceItem, ModelGroupItem, WorkspaceItem {

	/**
	 * Returns the key of the item in the desired state.
	 * @return the key
	 */
	ItemKey key();

}
