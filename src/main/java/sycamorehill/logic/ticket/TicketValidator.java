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
 * Finds every fault of a ticket at once. It runs before acceptance only: an accepted
 * ticket is folded in by every node as it is, so that no node can refuse what another one
 * accepted.
 */
public final class TicketValidator {

	/**
	 * The most changes in one ticket, so that it stays far below the object size limit.
	 */
	static final int MOST_CHANGES = 500;

	/** The most bytes that the items of the truth may need in the snapshot. */
	static final long MOST_TRUTH_BYTES = 850_000;

	private final DesiredState truth;

	private final List<String> faults = new ArrayList<>();

	private final List<AppliedItem> present = new ArrayList<>();

	private final Map<ItemKey, Item> after = new HashMap<>();

	private TicketValidator(DesiredState truth) {
		this.truth = truth;
	}

	/**
	 * Checks a ticket against the truth that it would follow.
	 * @param draft the ticket
	 * @param truth the truth before it
	 * @return every fault found
	 */
	public static ValidationResult validate(TicketDraft draft, DesiredState truth) {
		TicketValidator validator = new TicketValidator(truth);
		validator.checkWhole(draft);
		if (validator.faults.isEmpty()) {
			validator.checkReferences();
			validator.checkSize();
		}
		return new ValidationResult(List.copyOf(validator.faults), List.copyOf(validator.present));
	}

	private void checkWhole(TicketDraft draft) {
		if (draft.filing() == null) {
			this.faults.add("filing: a filing identifier is needed");
		}
		if (draft.operator().isBlank()) {
			this.faults.add("operator: the name of the filer is needed");
		}
		if (draft.changes().isEmpty()) {
			this.faults.add("changes: a ticket changes at least one item");
		}
		if (draft.changes().size() > MOST_CHANGES) {
			this.faults
				.add("changes: a ticket changes at most " + MOST_CHANGES + " items, not " + draft.changes().size());
		}
		this.truth.items().forEach((key, item) -> this.after.put(key, item.item()));
		Set<ItemKey> seen = new HashSet<>();
		for (int index = 0; index < draft.changes().size(); index++) {
			checkChange("changes[" + index + "]", draft.changes().get(index), seen);
		}
	}

	private void checkChange(String place, ItemChange change, Set<ItemKey> seen) {
		if (change.key() == null || change.key().kind() == null || change.key().name() == null
				|| change.key().name().isBlank()) {
			this.faults.add(place + ".key: a kind and a name are needed");
			return;
		}
		String named = place + " (" + change.key().kind() + " " + change.key().name() + ")";
		if (!seen.add(change.key())) {
			this.faults.add(named + ": the item stands twice in the ticket");
			return;
		}
		checkLastSetBy(named, change);
		Optional<Item> state = change.newState();
		if (state.isPresent()) {
			this.after.put(change.key(), state.get());
			List<String> found = ItemRules.check(state.get(), change.key());
			found.forEach((fault) -> this.faults.add(named + fault));
		}
		else {
			if (!this.truth.items().containsKey(change.key())) {
				this.faults.add(named + ": can't be removed, it does not exist");
			}
			this.after.remove(change.key());
		}
	}

	private void checkLastSetBy(String named, ItemChange change) {
		long setBy = this.truth.lastSetBy(change.key());
		if (setBy == change.lastSetBy()) {
			return;
		}
		AppliedItem item = this.truth.items().get(change.key());
		if (item != null) {
			this.present.add(item);
			this.faults
				.add(named + ".lastSetBy: the item was last set by ticket " + setBy + ", not " + change.lastSetBy());
		}
		else {
			this.faults.add(named + ".lastSetBy: the item does not exist, so 0 is expected, not " + change.lastSetBy());
		}
	}

	private void checkReferences() {
		Map<String, ItemKey> keyHashes = new HashMap<>();
		for (Map.Entry<ItemKey, Item> entry : this.after.entrySet()) {
			if (entry.getValue() instanceof ModelGroupItem set) {
				checkService(set);
			}
			else if (entry.getValue() instanceof WorkspaceItem workspace) {
				ItemKey other = keyHashes.put(workspace.keyHash(), entry.getKey());
				if (other != null) {
					this.faults.add("workspaces " + other.name() + " and " + entry.getKey().name()
							+ " must not have the same key");
				}
			}
		}
		this.faults.sort(String::compareTo);
	}

	private void checkService(ModelGroupItem set) {
		Item service = this.after.get(ItemKey.of(ItemKind.SERVICE, set.service().value()));
		if (service == null) {
			this.faults.add("MODEL_GROUP " + set.name() + ".service: there is no service " + set.service()
					+ " after this ticket");
		}
		else if (((ServiceItem) service).kind() != ServiceKind.MODEL) {
			this.faults.add("MODEL_GROUP " + set.name() + ".service: " + set.service() + " is not a model service");
		}
	}

	private void checkSize() {
		long bytes = this.after.values().stream().mapToLong(ItemRules::bytes).sum();
		if (bytes > MOST_TRUTH_BYTES) {
			this.faults.add("the items would need about " + bytes + " bytes, and one object of the platform holds "
					+ MOST_TRUTH_BYTES + " of them");
		}
	}

}
