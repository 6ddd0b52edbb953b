package sycamorehill.model.ticket;

import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;

/**
 * The desired state after applying the tickets 1 to {@link #number()}.
 *
 * @param number the number of the last applied ticket, 0 for none
 * @param items all items by key, each with the ticket that set it
 * @param workspacesByKeyHash the workspaces by the hash of their key, to find the
 * workspace of a caller without a search
 */
public record DesiredState(long number, PMap<ItemKey, AppliedItem> items,
		PMap<String, WorkspaceItem> workspacesByKeyHash) {

	/**
	 * Returns the desired state before the first ticket.
	 * @return the empty state
	 */
	public static DesiredState empty() {
		return new DesiredState(0, HashTreePMap.empty(), HashTreePMap.empty());
	}

	/**
	 * Creates the desired state from the items of a snapshot.
	 * @param number the number of the last applied ticket
	 * @param items the items of the snapshot
	 * @return the desired state
	 */
	public static DesiredState of(long number, List<AppliedItem> items) {
		DesiredState state = empty();
		for (AppliedItem item : items) {
			state = state.with(item.item(), item.setBy());
		}
		return new DesiredState(number, state.items, state.workspacesByKeyHash);
	}

	/**
	 * Applies the next ticket.
	 * @param ticket the ticket with the number that follows {@link #number()}
	 * @return the desired state after the ticket
	 */
	public DesiredState apply(Ticket ticket) {
		if (ticket.number() != this.number + 1) {
			throw new IllegalStateException("ticket " + ticket.number() + " can't be applied after ticket "
					+ this.number + ": the numbers are not consecutive");
		}
		DesiredState state = this;
		for (ItemChange change : ticket.draft().changes()) {
			state = change.newState().isPresent() ? state.with(change.newState().get(), ticket.number())
					: state.without(change.key());
		}
		return new DesiredState(ticket.number(), state.items, state.workspacesByKeyHash);
	}

	/**
	 * Returns the number of the ticket that set an item last.
	 * @param key the key of the item
	 * @return the number, 0 for an item that does not exist
	 */
	public long lastSetBy(ItemKey key) {
		AppliedItem item = this.items.get(key);
		return (item != null) ? item.setBy() : 0;
	}

	/**
	 * Finds a service.
	 * @param name the name of the service
	 * @return the service, if it exists
	 */
	public Optional<ServiceItem> service(ServiceName name) {
		return Optional.ofNullable(this.items.get(ItemKey.of(ItemKind.SERVICE, name.value())))
			.map((found) -> (ServiceItem) found.item());
	}

	/**
	 * Finds the workspace of a caller.
	 * @param keyHash the SHA-256 hash of the caller's key in lower-case hexadecimal
	 * digits
	 * @return the workspace, if the key is known
	 */
	public Optional<WorkspaceItem> workspaceByKeyHash(String keyHash) {
		return Optional.ofNullable(this.workspacesByKeyHash.get(keyHash));
	}

	/**
	 * Returns the group sets of a data centre.
	 * @param dataCentre the data centre
	 * @return the group sets in the order of their names, each with the ticket that set
	 * it
	 */
	public List<AppliedItem> groupSets(DataCentreName dataCentre) {
		return this.items.values()
			.stream()
			.filter((found) -> found.item() instanceof ModelGroupItem set && set.dataCentre().equals(dataCentre))
			.sorted((first, second) -> first.item().key().compareTo(second.item().key()))
			.toList();
	}

	private DesiredState with(Item item, long setBy) {
		DesiredState cleared = without(item.key());
		PMap<String, WorkspaceItem> workspaces = cleared.workspacesByKeyHash;
		if (item instanceof WorkspaceItem workspace) {
			workspaces = workspaces.plus(workspace.keyHash(), workspace);
		}
		return new DesiredState(this.number, cleared.items.plus(item.key(), new AppliedItem(item, setBy)), workspaces);
	}

	private DesiredState without(ItemKey key) {
		AppliedItem previous = this.items.get(key);
		if (previous == null) {
			return this;
		}
		PMap<String, WorkspaceItem> workspaces = this.workspacesByKeyHash;
		if (previous.item() instanceof WorkspaceItem workspace) {
			workspaces = workspaces.minus(workspace.keyHash());
		}
		return new DesiredState(this.number, this.items.minus(key), workspaces);
	}

}
