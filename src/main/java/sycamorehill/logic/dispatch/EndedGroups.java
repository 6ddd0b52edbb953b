package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.serving.Membership;

/**
 * Groups that are known to serve no more, though the directory still shows them. An
 * engine that is cut off from the store goes on being shown as it was: each node would
 * send it requests, and a request has few targets to try.
 */
final class EndedGroups {

	/** The directory shows an engine's change within this time, or drops the engine. */
	private static final Duration MAXIMUM_DIRECTORY_DELAY = Duration.ofSeconds(10);

	private final Map<GroupKey, Instant> endedAt = new HashMap<>();

	void add(String group, long epoch, Instant now) {
		this.endedAt.values().removeIf((at) -> now.isAfter(at.plus(MAXIMUM_DIRECTORY_DELAY)));
		this.endedAt.put(new GroupKey(group, epoch), now);
	}

	/**
	 * Whether a group serves no more.
	 * @param head what its head says of itself
	 * @param now the present time
	 * @return true if the group that it reports has ended
	 */
	boolean contains(Optional<Membership> head, Instant now) {
		return !this.endedAt.isEmpty() && head.map(GroupKey::of)
			.map(this.endedAt::get)
			.filter((at) -> now.isBefore(at.plus(MAXIMUM_DIRECTORY_DELAY)))
			.isPresent();
	}

}
