package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Tracks engines that could not be reached, each for the incarnation in which a call
 * failed. Their entries stay in the directory for some seconds.
 */
final class UnreachableEngines {

	/**
	 * Interval between two polls of an unreachable engine. An engine whose network link
	 * was interrupted for a moment keeps its directory entry, so nothing else shows that
	 * it is reachable again; without polls, it would stay unused until the controller
	 * changes. The interval limits the calls to crashed engines, whose entries expire
	 * within four intervals.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Time that other engines have to become reachable after an unreachable engine was
	 * reached; each is polled once within it. A partition heals for all engines behind it
	 * at the same moment.
	 */
	private static final Duration RECOVERY_TIME = Duration.ofMillis(1500);

	private final TargetDirectory directory;

	private final VanishedMembers vanished;

	private final Map<TargetName, Failure> failures = new HashMap<>();

	private final Map<TargetName, Instant> recoveredAt = new HashMap<>();

	private UnreachableEngines(TargetDirectory directory, VanishedMembers vanished) {
		this.directory = directory;
		this.vanished = vanished;
	}

	static UnreachableEngines of(TargetDirectory directory, VanishedMembers vanished) {
		return new UnreachableEngines(directory, vanished);
	}

	void add(TargetEntry engine, Instant now) {
		this.failures.put(engine.name(), new Failure(engine.startMillis(), now));
		this.recoveredAt.remove(engine.name());
	}

	void recordReached(TargetName engine, Instant now) {
		if (this.failures.remove(engine) != null) {
			this.recoveredAt.put(engine, now);
		}
		this.recoveredAt.values().removeIf((since) -> now.isAfter(since.plus(RECOVERY_TIME)));
	}

	/**
	 * Returns whether an unreachable engine has just been reached.
	 * @param engine the engine
	 * @param now the current time
	 * @return true while other engines may become reachable too
	 */
	boolean hasJustRecovered(TargetEntry engine, Instant now) {
		Instant since = this.recoveredAt.get(engine.name());
		return since != null && now.isBefore(since.plus(RECOVERY_TIME));
	}

	/** Forgets the engines that are no longer in the directory. */
	void keepOnlyPresent() {
		this.failures.keySet().removeIf((name) -> this.directory.find(name).isEmpty());
	}

	boolean contains(TargetEntry engine) {
		Failure failure = this.failures.get(engine.name());
		return failure != null && failure.startMillis() == engine.startMillis();
	}

	/**
	 * Returns whether an unreachable engine is due to be polled.
	 * @param engine the engine
	 * @param now the current time
	 * @return true if it is unreachable and the poll interval has passed
	 */
	boolean isPollDue(TargetEntry engine, Instant now) {
		return contains(engine) && now.isAfter(this.failures.get(engine.name()).since().plus(POLL_INTERVAL));
	}

	/**
	 * Returns whether an engine can no longer be a member of a group.
	 * @param member the entry of the engine when the group was formed or seen
	 * @return true if it is gone, was restarted, is leaving or cannot be reached
	 */
	boolean isUnusable(TargetEntry member) {
		Optional<TargetEntry> present = this.directory.find(member.name());
		if (present.isPresent()) {
			return present.get().isOtherIncarnation(member) || present.get().leaving() || contains(present.get());
		}
		Optional<TargetEntry> lastEntry = this.directory.findVanished(member.name());
		return lastEntry.isEmpty() || lastEntry.get().isOtherIncarnation(member) || this.vanished.isLeaving(member);
	}

	/**
	 * A failed call.
	 *
	 * @param startMillis the start time of the engine's process in milliseconds, which
	 * identifies its incarnation
	 * @param since when it failed
	 */
	private record Failure(long startMillis, Instant since) {
	}

}
