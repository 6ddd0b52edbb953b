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
 * The last word of targets whose entries went without notice of their leaving.
 *
 * Such a target may be dead, may leave silently, or may only be cut off from the store. A
 * group goes on serving when a member is cut off from the store alone; if its missing
 * entry counted as a loss, a cut of a tenth of the engines took half of all groups apart.
 */
final class VanishedTargets {

	/**
	 * How long the last word is kept. Cuts that last longer are rare, and their groups
	 * are known again from the entries that come back.
	 */
	static final Duration RETENTION_TIME = Duration.ofSeconds(10);

	private final Map<TargetName, Vanished> vanished = new HashMap<>();

	void add(TargetEntry entry, Instant now) {
		this.vanished.put(entry.name(), new Vanished(entry, now));
	}

	/**
	 * Forgets a target.
	 * @param name the target
	 * @return whether it was known
	 */
	boolean remove(TargetName name) {
		return this.vanished.remove(name) != null;
	}

	/**
	 * Forgets the targets that went too long ago.
	 * @param now the present time
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
	 * A target whose entry went.
	 *
	 * @param entry its last word
	 * @param since when the entry went
	 */
	private record Vanished(TargetEntry entry, Instant since) {
	}

}
