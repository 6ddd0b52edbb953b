package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;

/**
 * Tracks which groups have been seen complete. If a member of such a group is missing
 * later, the group has lost it. The missing members of a group that was never seen
 * complete may only not have appeared yet, as after a partition. If such a group were
 * disbanded when its first member appears, all healthy groups of a data centre would be
 * lost at the moment a partition heals.
 */
final class GroupCompletenessTracker {

	/**
	 * Time that members have to appear. Engines register again within 2 s of reaching the
	 * store; the rest is the time that a change needs to arrive at this node.
	 */
	private static final Duration APPEARANCE_TIME = Duration.ofMillis(2500);

	private final Set<GroupKey> seenComplete = new HashSet<>();

	private final Map<GroupKey, Instant> incompleteSince = new HashMap<>();

	void clear() {
		this.seenComplete.clear();
		this.incompleteSince.clear();
	}

	void keepOnly(Set<GroupKey> seen) {
		this.seenComplete.retainAll(seen);
		this.incompleteSince.keySet().retainAll(seen);
	}

	/**
	 * Returns whether members of a group may still appear.
	 * @param group the group as currently seen
	 * @param now the current time
	 * @return true if the group is new, incomplete and was never complete
	 */
	boolean mayStillAppear(GroupView group, Instant now) {
		if (group.allRanksReported()) {
			this.seenComplete.add(group.key());
			return false;
		}
		Instant since = this.incompleteSince.computeIfAbsent(group.key(), (key) -> now);
		return !this.seenComplete.contains(group.key()) && now.isBefore(since.plus(APPEARANCE_TIME));
	}

}
