package sycamorehill.logic.ticket;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import sycamorehill.model.ticket.IdempotencyRule;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.ServiceKind;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * What each kind of item must be like by itself.
 */
final class ItemRules {

	static final int MOST_GROUPS = 1000;

	static final int MOST_MEMBERS = 64;

	static final int MOST_WEIGHT = 1000;

	private static final int LONGEST_NAME = 100;

	private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

	private static final int ITEM_BYTES = 400;

	private static final int LIST_ENTRY_BYTES = 200;

	private final List<String> faults = new ArrayList<>();

	private ItemRules() {
	}

	/**
	 * Finds the faults of an item.
	 * @param item the item's new state
	 * @param key the key under which the ticket sets it
	 * @return each fault with the field it is in, beginning with a dot
	 */
	static List<String> check(Item item, ItemKey key) {
		ItemRules rules = new ItemRules();
		if (rules.nameMissing(item)) {
			return List.of(".newState.name: a name is needed");
		}
		rules.require(item.key().equals(key),
				".newState: is the state of " + item.key().kind() + " " + item.key().name());
		rules.require(key.name().length() <= LONGEST_NAME, ".key.name: at most " + LONGEST_NAME + " characters");
		if (item instanceof ServiceItem service) {
			rules.service(service);
		}
		else if (item instanceof ModelGroupItem set) {
			rules.groupSet(set);
		}
		else {
			rules.workspace((WorkspaceItem) item);
		}
		return rules.faults;
	}

	/**
	 * An upper estimate of the bytes that an item needs in the snapshot.
	 * @param item the item
	 * @return bytes
	 */
	static long bytes(Item item) {
		if (item instanceof ServiceItem service) {
			return ITEM_BYTES + service.model().length() + service.modelVersion().length()
					+ (long) LIST_ENTRY_BYTES * (service.plainTargets().size() + service.repeatRules().size())
					+ service.repeatRules().stream().mapToLong((rule) -> rule.pathPrefix().length()).sum();
		}
		return ITEM_BYTES + item.key().name().length();
	}

	private boolean nameMissing(Item item) {
		if (item instanceof ServiceItem service) {
			return service.name() == null;
		}
		if (item instanceof ModelGroupItem set) {
			return set.name() == null;
		}
		return ((WorkspaceItem) item).name() == null;
	}

	private void service(ServiceItem service) {
		if (service.kind() == null) {
			this.faults.add(".newState.kind: MODEL or PLAIN is needed");
			return;
		}
		require(!service.name().value().contains("/"), ".newState.name: must not contain a slash");
		if (service.kind() == ServiceKind.MODEL) {
			require(!service.model().isBlank(), ".newState.model: a model service needs a model");
			require(!service.modelVersion().isBlank(), ".newState.modelVersion: a model service needs a version");
			require(service.plainTargets().isEmpty(), ".newState.plainTargets: only for a plain service");
			require(service.repeatRules().isEmpty(), ".newState.repeatRules: only for a plain service");
			return;
		}
		require(service.model().isBlank() && service.modelVersion().isBlank(),
				".newState.model: only for a model service");
		require(!service.plainTargets().isEmpty(), ".newState.plainTargets: a plain service needs a target");
		Set<Object> names = new HashSet<>();
		for (PlainTarget target : service.plainTargets()) {
			boolean whole = target.name() != null && target.dataCentre() != null && target.address() != null;
			require(whole, ".newState.plainTargets: each needs a name, a data centre and an address");
			require(!whole || names.add(target.name()),
					".newState.plainTargets: the name " + target.name() + " stands twice");
		}
		for (IdempotencyRule rule : service.repeatRules()) {
			require(rule.method() != null && !rule.method().isBlank(),
					".newState.repeatRules: each needs a method, or * for any");
			require(rule.pathPrefix() != null && rule.pathPrefix().startsWith("/"),
					".newState.repeatRules: a path prefix begins with a slash, not '" + rule.pathPrefix() + "'");
		}
	}

	private void groupSet(ModelGroupItem set) {
		require(set.service() != null, ".newState.service: a service is needed");
		require(set.dataCentre() != null, ".newState.dataCentre: a data centre is needed");
		range(".newState.groups", set.groups(), 0, MOST_GROUPS);
		range(".newState.membersPerGroup", set.membersPerGroup(), 1, MOST_MEMBERS);
		range(".newState.standbys", set.standbys(), 0, MOST_MEMBERS);
	}

	private void workspace(WorkspaceItem workspace) {
		require(workspace.keyHash() != null && KEY_HASH.matcher(workspace.keyHash()).matches(),
				".newState.keyHash: SHA-256 of the key in 64 lower-case hex digits");
		positive(".newState.requestsPerSecond", workspace.requestsPerSecond());
		positive(".newState.tokensPerSecond", workspace.tokensPerSecond());
		range(".newState.inFlight", workspace.inFlight(), 1, Integer.MAX_VALUE);
		range(".newState.weight", workspace.weight(), 1, MOST_WEIGHT);
	}

	private void positive(String field, double value) {
		require(Double.isFinite(value) && value > 0, field + ": a number above 0, not " + value);
	}

	private void range(String field, int value, int least, int most) {
		require(value >= least && value <= most, field + ": from " + least + " to " + most + ", not " + value);
	}

	private void require(boolean holds, String fault) {
		if (!holds) {
			this.faults.add(fault);
		}
	}

}
