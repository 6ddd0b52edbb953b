package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.serving.Membership;

/**
 * Records groups that no longer serve although the directory still lists them.
 *
 * An engine that is partitioned from the store stays listed with its old state. Each node
 * would send requests to it, and a request can be sent to a few targets only.
 */
final class EndedGroups {

	/** Time within which the directory lists an engine's change or removes the engine. */
	private static final Duration MAXIMUM_DIRECTORY_DELAY = Duration.ofSeconds(10);

	private final Map<GroupKey, Instant> endedAt = new HashMap<>();

	void add(String group, long epoch, Instant now) {
		this.endedAt.values().removeIf((at) -> now.isAfter(at.plus(MAXIMUM_DIRECTORY_DELAY)));
		this.endedAt.put(new GroupKey(group, epoch), now);
	}

	/**
	 * Returns whether a group no longer serves.
	 * @param head the membership that the group's head reports
	 * @param now the current time
	 * @return true if the reported group has ended
	 */
	boolean contains(Optional<Membership> head, Instant now) {
		return !this.endedAt.isEmpty() && head.map(GroupKey::of)
			.map(this.endedAt::get)
			.filter((at) -> now.isBefore(at.plus(MAXIMUM_DIRECTORY_DELAY)))
			.isPresent();
	}

}
