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
 * Validates single items, without regard to other items.
 */
final class ItemValidator {

	static final int MAXIMUM_GROUPS = 1000;

	static final int MAXIMUM_MEMBERS = 64;

	static final int MAXIMUM_WEIGHT = 1000;

	private static final int MAXIMUM_NAME_LENGTH = 100;

	private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

	private static final int ESTIMATED_ITEM_BYTES = 400;

	private static final int ESTIMATED_LIST_ENTRY_BYTES = 200;

	private final List<String> faults = new ArrayList<>();

	private ItemValidator() {
	}

	/**
	 * Finds the faults of an item.
	 * @param item the item's new state
	 * @param key the key under which the ticket sets it
	 * @return the faults, each preceded by its field, which starts with a dot
	 */
	static List<String> check(Item item, ItemKey key) {
		ItemValidator validator = new ItemValidator();
		if (validator.isNameMissing(item)) {
			return List.of(".newState.name: a name is needed");
		}
		validator.require(item.key().equals(key),
				".newState: is the state of " + item.key().kind() + " " + item.key().name());
		validator.require(key.name().length() <= MAXIMUM_NAME_LENGTH,
				".key.name: at most " + MAXIMUM_NAME_LENGTH + " characters");
		if (item instanceof ServiceItem service) {
			validator.checkService(service);
		}
		else if (item instanceof ModelGroupItem set) {
			validator.checkGroupSet(set);
		}
		else {
			validator.checkWorkspace((WorkspaceItem) item);
		}
		return validator.faults;
	}

	/**
	 * Returns an upper estimate of the size of an item in the snapshot.
	 * @param item the item
	 * @return the size in bytes
	 */
	static long estimateBytes(Item item) {
		if (item instanceof ServiceItem service) {
			return ESTIMATED_ITEM_BYTES + service.model().length() + service.modelVersion().length()
					+ (long) ESTIMATED_LIST_ENTRY_BYTES * (service.plainTargets().size() + service.repeatRules().size())
					+ service.repeatRules().stream().mapToLong((rule) -> rule.pathPrefix().length()).sum();
		}
		return ESTIMATED_ITEM_BYTES + item.key().name().length();
	}

	private boolean isNameMissing(Item item) {
		if (item instanceof ServiceItem service) {
			return service.name() == null;
		}
		if (item instanceof ModelGroupItem set) {
			return set.name() == null;
		}
		return ((WorkspaceItem) item).name() == null;
	}

	private void checkService(ServiceItem service) {
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
			boolean complete = target.name() != null && target.dataCentre() != null && target.address() != null;
			require(complete, ".newState.plainTargets: each needs a name, a data centre and an address");
			require(!complete || names.add(target.name()),
					".newState.plainTargets: the name " + target.name() + " stands twice");
		}
		for (IdempotencyRule rule : service.repeatRules()) {
			require(rule.method() != null && !rule.method().isBlank(),
					".newState.repeatRules: each needs a method, or * for any");
			require(rule.pathPrefix() != null && rule.pathPrefix().startsWith("/"),
					".newState.repeatRules: a path prefix begins with a slash, not '" + rule.pathPrefix() + "'");
		}
	}

	private void checkGroupSet(ModelGroupItem set) {
		require(set.service() != null, ".newState.service: a service is needed");
		require(set.dataCentre() != null, ".newState.dataCentre: a data centre is needed");
		requireRange(".newState.groups", set.groups(), 0, MAXIMUM_GROUPS);
		requireRange(".newState.membersPerGroup", set.membersPerGroup(), 1, MAXIMUM_MEMBERS);
		requireRange(".newState.standbys", set.standbys(), 0, MAXIMUM_MEMBERS);
	}

	private void checkWorkspace(WorkspaceItem workspace) {
		require(workspace.keyHash() != null && KEY_HASH.matcher(workspace.keyHash()).matches(),
				".newState.keyHash: SHA-256 of the key in 64 lower-case hex digits");
		requirePositive(".newState.requestsPerSecond", workspace.requestsPerSecond());
		requirePositive(".newState.tokensPerSecond", workspace.tokensPerSecond());
		requireRange(".newState.inFlight", workspace.inFlight(), 1, Integer.MAX_VALUE);
		requireRange(".newState.weight", workspace.weight(), 1, MAXIMUM_WEIGHT);
	}

	private void requirePositive(String field, double value) {
		require(Double.isFinite(value) && value > 0, field + ": a number above 0, not " + value);
	}

	private void requireRange(String field, int value, int minimum, int maximum) {
		require(value >= minimum && value <= maximum,
				field + ": from " + minimum + " to " + maximum + ", not " + value);
	}

	private void require(boolean condition, String fault) {
		if (!condition) {
			this.faults.add(fault);
		}
	}

}
