package sycamorehill.logic.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Holds the last known entries of targets whose entries were removed from the store
 * without a leaving notice.
 *
 * Such a target may have crashed, may leave without notice, or may only be partitioned
 * from the store. A group keeps serving when a member is partitioned from the store
 * alone; if its missing entry counted as a loss, a partition of a tenth of the engines
 * would disband half of all groups.
 */
final class VanishedTargets {

	/**
	 * How long a last known entry is kept. Longer partitions are rare, and their groups
	 * become known again from the entries that are registered again.
	 */
	static final Duration RETENTION_TIME = Duration.ofSeconds(10);

	private final Map<TargetName, Vanished> vanished = new HashMap<>();

	void add(TargetEntry entry, Instant now) {
		this.vanished.put(entry.name(), new Vanished(entry, now));
	}

	/**
	 * Removes a target.
	 * @param name the target
	 * @return whether it was known
	 */
	boolean remove(TargetName name) {
		return this.vanished.remove(name) != null;
	}

	/**
	 * Removes the targets that vanished longer ago than {@link #RETENTION_TIME}.
	 * @param now the current time
	 * @return whether there were any
	 */
	boolean expire(Instant now) {
		return this.vanished.values().removeIf((each) -> now.isAfter(each.since().plus(RETENTION_TIME)));
	}

	Optional<TargetEntry> find(TargetName name) {
		return Optional.ofNullable(this.vanished.get(name)).map(Vanished::entry);
	}

	Collection<TargetEntry> all() {
		return this.vanished.values().stream().map(Vanished::entry).toList();
	}

	/**
	 * Holds the last known entry of a vanished target.
	 *
	 * @param entry its last known entry
	 * @param since when the entry was removed
	 */
	private record Vanished(TargetEntry entry, Instant since) {
	}

}
