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
 * Engines that could not be reached, each for the life in which that was seen. Their
 * entries stay in the directory for seconds.
 */
final class UnreachableEngines {

	/**
	 * Pause before a lost engine is asked again. One whose link was cut for a moment
	 * keeps its entry and comes back without any sign; if nobody asked, it would be of no
	 * use until the next controller. The pause bounds the calls to engines that are dead:
	 * their entries lapse within four of them.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Time after a lost engine was reached in which others beside it may be reached too:
	 * each is asked once within it. A partition heals for all engines behind it at the
	 * same moment.
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
		this.failures.put(engine.name(), new Failure(engine.bornMillis(), now));
		this.recoveredAt.remove(engine.name());
	}

	void recordReached(TargetName engine, Instant now) {
		if (this.failures.remove(engine) != null) {
			this.recoveredAt.put(engine, now);
		}
		this.recoveredAt.values().removeIf((since) -> now.isAfter(since.plus(RECOVERY_TIME)));
	}

	/**
	 * Whether an engine that was lost has just been reached.
	 * @param engine the engine
	 * @param now the present time
	 * @return true if others beside it may follow
	 */
	boolean hasJustRecovered(TargetEntry engine, Instant now) {
		Instant since = this.recoveredAt.get(engine.name());
		return since != null && now.isBefore(since.plus(RECOVERY_TIME));
	}

	/** Forgets the engines that are gone. */
	void keepOnlyPresent() {
		this.failures.keySet().removeIf((name) -> this.directory.find(name).isEmpty());
	}

	boolean contains(TargetEntry engine) {
		Failure failure = this.failures.get(engine.name());
		return failure != null && failure.startMillis() == engine.bornMillis();
	}

	/**
	 * Whether a lost engine is to be asked again.
	 * @param engine the engine
	 * @param now the present time
	 * @return true if it was lost and the pause is over
	 */
	boolean isPollDue(TargetEntry engine, Instant now) {
		return contains(engine) && now.isAfter(this.failures.get(engine.name()).since().plus(POLL_INTERVAL));
	}

	/**
	 * Whether an engine can be no member of a group any more.
	 * @param member the engine as it was when the group was formed or seen
	 * @return true if it is gone, began anew, is leaving or can't be reached
	 */
	boolean isUnusable(TargetEntry member) {
		Optional<TargetEntry> present = this.directory.find(member.name());
		if (present.isPresent()) {
			return present.get().anotherLife(member) || present.get().leaving() || contains(present.get());
		}
		Optional<TargetEntry> lastEntry = this.directory.findVanished(member.name());
		return lastEntry.isEmpty() || lastEntry.get().anotherLife(member) || this.vanished.isLeaving(member);
	}

	/**
	 * A call that failed.
	 *
	 * @param startMillis the engine's life
	 * @param since when it failed
	 */
	private record Failure(long startMillis, Instant since) {
	}

}
