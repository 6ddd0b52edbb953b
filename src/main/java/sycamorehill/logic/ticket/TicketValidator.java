package sycamorehill.logic.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.ServiceKind;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Finds all faults of a ticket in one pass. Tickets are validated only before they are
 * accepted. Every node applies an accepted ticket without further checks, so that no node
 * can reject what another node accepted.
 */
public final class TicketValidator {

	/**
	 * The maximum number of changes in one ticket. It keeps a ticket far below the size
	 * limit of a platform object.
	 */
	static final int MAXIMUM_CHANGES = 500;

	/** The maximum size in bytes of all items of the desired state in the snapshot. */
	static final long MAXIMUM_STATE_BYTES = 850_000;

	private final DesiredState desiredState;

	private final List<String> faults = new ArrayList<>();

	private final List<AppliedItem> currentItems = new ArrayList<>();

	private final Map<ItemKey, Item> itemsAfter = new HashMap<>();

	private TicketValidator(DesiredState desiredState) {
		this.desiredState = desiredState;
	}

	/**
	 * Validates a ticket against the desired state to which it would be applied.
	 * @param draft the ticket
	 * @param desiredState the desired state before the ticket
	 * @return all faults found
	 */
	public static ValidationResult validate(TicketDraft draft, DesiredState desiredState) {
		TicketValidator validator = new TicketValidator(desiredState);
		validator.checkDraft(draft);
		if (validator.faults.isEmpty()) {
			validator.checkReferences();
			validator.checkSize();
		}
		return new ValidationResult(List.copyOf(validator.faults), List.copyOf(validator.currentItems));
	}

	private void checkDraft(TicketDraft draft) {
		if (draft.filing() == null) {
			this.faults.add("filing: a filing identifier is needed");
		}
		if (draft.operator().isBlank()) {
			this.faults.add("operator: the name of the filer is needed");
		}
		if (draft.changes().isEmpty()) {
			this.faults.add("changes: a ticket changes at least one item");
		}
		if (draft.changes().size() > MAXIMUM_CHANGES) {
			this.faults
				.add("changes: a ticket changes at most " + MAXIMUM_CHANGES + " items, not " + draft.changes().size());
		}
		this.desiredState.items().forEach((key, item) -> this.itemsAfter.put(key, item.item()));
		Set<ItemKey> seenKeys = new HashSet<>();
		for (int index = 0; index < draft.changes().size(); index++) {
			checkChange("changes[" + index + "]", draft.changes().get(index), seenKeys);
		}
	}

	private void checkChange(String path, ItemChange change, Set<ItemKey> seenKeys) {
		if (change.key() == null || change.key().kind() == null || change.key().name() == null
				|| change.key().name().isBlank()) {
			this.faults.add(path + ".key: a kind and a name are needed");
			return;
		}
		String label = path + " (" + change.key().kind() + " " + change.key().name() + ")";
		if (!seenKeys.add(change.key())) {
			this.faults.add(label + ": the item stands twice in the ticket");
			return;
		}
		checkLastSetBy(label, change);
		Optional<Item> state = change.newState();
		if (state.isPresent()) {
			this.itemsAfter.put(change.key(), state.get());
			List<String> itemFaults = ItemValidator.check(state.get(), change.key());
			itemFaults.forEach((fault) -> this.faults.add(label + fault));
		}
		else {
			if (!this.desiredState.items().containsKey(change.key())) {
				this.faults.add(label + ": can't be removed, it does not exist");
			}
			this.itemsAfter.remove(change.key());
		}
	}

	private void checkLastSetBy(String label, ItemChange change) {
		long setBy = this.desiredState.lastSetBy(change.key());
		if (setBy == change.lastSetBy()) {
			return;
		}
		AppliedItem item = this.desiredState.items().get(change.key());
		if (item != null) {
			this.currentItems.add(item);
			this.faults
				.add(label + ".lastSetBy: the item was last set by ticket " + setBy + ", not " + change.lastSetBy());
		}
		else {
			this.faults.add(label + ".lastSetBy: the item does not exist, so 0 is expected, not " + change.lastSetBy());
		}
	}

	private void checkReferences() {
		Map<String, ItemKey> keyHashes = new HashMap<>();
		for (Map.Entry<ItemKey, Item> entry : this.itemsAfter.entrySet()) {
			if (entry.getValue() instanceof ModelGroupItem set) {
				checkService(set);
			}
			else if (entry.getValue() instanceof WorkspaceItem workspace) {
				ItemKey otherKey = keyHashes.put(workspace.keyHash(), entry.getKey());
				if (otherKey != null) {
					this.faults.add("workspaces " + otherKey.name() + " and " + entry.getKey().name()
							+ " must not have the same key");
				}
			}
		}
		this.faults.sort(String::compareTo);
	}

	private void checkService(ModelGroupItem set) {
		Item service = this.itemsAfter.get(ItemKey.of(ItemKind.SERVICE, set.service().value()));
		if (service == null) {
			this.faults.add("MODEL_GROUP " + set.name() + ".service: there is no service " + set.service()
					+ " after this ticket");
		}
		else if (((ServiceItem) service).kind() != ServiceKind.MODEL) {
			this.faults.add("MODEL_GROUP " + set.name() + ".service: " + set.service() + " is not a model service");
		}
	}

	private void checkSize() {
		long bytes = this.itemsAfter.values().stream().mapToLong(ItemValidator::estimateBytes).sum();
		if (bytes > MAXIMUM_STATE_BYTES) {
			this.faults.add("the items would need about " + bytes + " bytes, and one object of the platform holds "
					+ MAXIMUM_STATE_BYTES + " of them");
		}
	}

}
