package sycamorehill.model.ticket;

import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;

/**
 * The state in force after the tickets 1 to {@link #number()}.
 *
 * @param number the last ticket that is folded in, 0 for none
 * @param items every item with the ticket that set it
 * @param workspacesByKeyHash finds a caller's workspace without a search
 */
public record Truth(long number, PMap<ItemKey, ItemInForce> items, PMap<String, WorkspaceItem> workspacesByKeyHash) {

	/**
	 * The truth before the first ticket.
	 * @return the empty truth
	 */
	public static Truth empty() {
		return new Truth(0, HashTreePMap.empty(), HashTreePMap.empty());
	}

	/**
	 * The truth from a snapshot's items.
	 * @param number the last ticket folded in
	 * @param items the items in force
	 * @return the truth
	 */
	public static Truth of(long number, List<ItemInForce> items) {
		Truth truth = empty();
		for (ItemInForce item : items) {
			truth = truth.with(item.item(), item.setBy());
		}
		return new Truth(number, truth.items, truth.workspacesByKeyHash);
	}

	/**
	 * Folds the next ticket in.
	 * @param ticket the ticket with the number after {@link #number()}
	 * @return the truth after it
	 */
	public Truth apply(Ticket ticket) {
		if (ticket.number() != this.number + 1) {
			throw new IllegalStateException(
					"ticket " + ticket.number() + " can't follow ticket " + this.number + ": a gap or a way back");
		}
		Truth truth = this;
		for (ItemChange change : ticket.draft().changes()) {
			truth = change.newState().isPresent() ? truth.with(change.newState().get(), ticket.number())
					: truth.without(change.key());
		}
		return new Truth(ticket.number(), truth.items, truth.workspacesByKeyHash);
	}

	/**
	 * The ticket that set an item last.
	 * @param key the item
	 * @return the number, 0 for an item that does not exist
	 */
	public long setBy(ItemKey key) {
		ItemInForce item = this.items.get(key);
		return (item != null) ? item.setBy() : 0;
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, if it exists
	 */
	public Optional<ServiceItem> service(ServiceName name) {
		return Optional.ofNullable(this.items.get(ItemKey.of(ItemKind.SERVICE, name.value())))
			.map((found) -> (ServiceItem) found.item());
	}

	/**
	 * Finds the workspace of a caller.
	 * @param keyHash the SHA-256 of the caller's key in lower-case hex
	 * @return the workspace, if the key is known
	 */
	public Optional<WorkspaceItem> workspaceByKeyHash(String keyHash) {
		return Optional.ofNullable(this.workspacesByKeyHash.get(keyHash));
	}

	/**
	 * The group sets of a data centre.
	 * @param dataCentre the data centre
	 * @return the sets, each with the ticket that set it, by name
	 */
	public List<ItemInForce> groupSets(DataCentreName dataCentre) {
		return this.items.values()
			.stream()
			.filter((found) -> found.item() instanceof ModelGroupItem set && set.dataCentre().equals(dataCentre))
			.sorted((one, other) -> one.item().key().compareTo(other.item().key()))
			.toList();
	}

	private Truth with(Item item, long setBy) {
		Truth cleared = without(item.key());
		PMap<String, WorkspaceItem> keys = cleared.workspacesByKeyHash;
		if (item instanceof WorkspaceItem workspace) {
			keys = keys.plus(workspace.keyHash(), workspace);
		}
		return new Truth(this.number, cleared.items.plus(item.key(), new ItemInForce(item, setBy)), keys);
	}

	private Truth without(ItemKey key) {
		ItemInForce old = this.items.get(key);
		if (old == null) {
			return this;
		}
		PMap<String, WorkspaceItem> keys = this.workspacesByKeyHash;
		if (old.item() instanceof WorkspaceItem workspace) {
			keys = keys.minus(workspace.keyHash());
		}
		return new Truth(this.number, this.items.minus(key), keys);
	}

}
