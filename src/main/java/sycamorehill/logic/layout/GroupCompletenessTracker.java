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
 * Remembers which groups were seen whole. A group that misses a member after that has
 * lost it. One that was never seen whole may only be coming into sight, member by member,
 * as after a partition: taken apart at the first sight of one member, whole data centres
 * of sound groups were lost the moment that a partition healed.
 */
final class GroupCompletenessTracker {

	/**
	 * Time that members have to come into sight. Engines enter themselves again within 2
	 * s of reaching the store; the rest is the time that a change needs to arrive here.
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
	 * Whether members of a group may still come into sight.
	 * @param group the group as it is seen now
	 * @param now the present time
	 * @return true if it is partial, was never whole and is new
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
