package sycamorehill.logic.directory;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Holds the targets that have announced with an answer that they leave. The store may
 * list them as ready until it has their notice, or list them again after an outage.
 */
final class LeavingTargets {

	/**
	 * How long a target may serve, or be listed again, after it announced its leaving.
	 */
	private static final Duration RETENTION_TIME = Duration.ofMinutes(2);

	private final Map<TargetName, Announcement> announcements = new HashMap<>();

	void add(TargetEntry entry, Instant now) {
		this.announcements.put(entry.name(), new Announcement(entry, now));
	}

	/**
	 * Returns whether this incarnation of a target has announced that it leaves.
	 * @param entry the target's entry
	 * @return true if it has
	 */
	boolean contains(TargetEntry entry) {
		Announcement announcement = this.announcements.get(entry.name());
		return announcement != null && !entry.isOtherIncarnation(announcement.entry());
	}

	void expire(Instant now) {
		this.announcements.values().removeIf((each) -> now.isAfter(each.at().plus(RETENTION_TIME)));
	}

	/**
	 * An announcement of a target.
	 *
	 * @param entry the target's entry when it announced its leaving
	 * @param at when it did
	 */
	private record Announcement(TargetEntry entry, Instant at) {
	}

}
