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
final class LostEngines {

	/**
	 * Pause before a lost engine is asked again. One whose link was cut for a moment
	 * keeps its entry and comes back without any sign; if nobody asked, it would be of no
	 * use until the next controller. The pause bounds the calls to engines that are dead:
	 * their entries lapse within four of them.
	 */
	private static final Duration ASK_AGAIN = Duration.ofSeconds(1);

	/**
	 * Time after a lost engine was reached in which others beside it may be reached too:
	 * each is asked once within it. A partition heals for all engines behind it at the
	 * same moment.
	 */
	private static final Duration OTHERS_FOLLOW = Duration.ofMillis(1500);

	private final TargetDirectory directory;

	private final VanishedMembers vanished;

	private final Map<TargetName, Failure> lost = new HashMap<>();

	private final Map<TargetName, Instant> reachedAgain = new HashMap<>();

	private LostEngines(TargetDirectory directory, VanishedMembers vanished) {
		this.directory = directory;
		this.vanished = vanished;
	}

	static LostEngines of(TargetDirectory directory, VanishedMembers vanished) {
		return new LostEngines(directory, vanished);
	}

	void add(TargetEntry engine, Instant now) {
		this.lost.put(engine.name(), new Failure(engine.bornMillis(), now));
		this.reachedAgain.remove(engine.name());
	}

	void reached(TargetName engine, Instant now) {
		if (this.lost.remove(engine) != null) {
			this.reachedAgain.put(engine, now);
		}
		this.reachedAgain.values().removeIf((since) -> now.isAfter(since.plus(OTHERS_FOLLOW)));
	}

	/**
	 * Whether an engine that was lost has just been reached.
	 * @param engine the engine
	 * @param now the present time
	 * @return true if others beside it may follow
	 */
	boolean justReached(TargetEntry engine, Instant now) {
		Instant since = this.reachedAgain.get(engine.name());
		return since != null && now.isBefore(since.plus(OTHERS_FOLLOW));
	}

	/** Forgets the engines that are gone. */
	void keepOnlyPresent() {
		this.lost.keySet().removeIf((name) -> this.directory.find(name).isEmpty());
	}

	boolean contains(TargetEntry engine) {
		Failure failure = this.lost.get(engine.name());
		return failure != null && failure.bornMillis() == engine.bornMillis();
	}

	/**
	 * Whether a lost engine is to be asked again.
	 * @param engine the engine
	 * @param now the present time
	 * @return true if it was lost and the pause is over
	 */
	boolean due(TargetEntry engine, Instant now) {
		return contains(engine) && now.isAfter(this.lost.get(engine.name()).since().plus(ASK_AGAIN));
	}

	/**
	 * Whether an engine can be no member of a group any more.
	 * @param member the engine as it was when the group was formed or seen
	 * @return true if it is gone, began anew, is leaving or can't be reached
	 */
	boolean unusable(TargetEntry member) {
		Optional<TargetEntry> present = this.directory.find(member.name());
		if (present.isPresent()) {
			return present.get().anotherLife(member) || present.get().leaving() || contains(present.get());
		}
		Optional<TargetEntry> lastWord = this.directory.findVanished(member.name());
		return lastWord.isEmpty() || lastWord.get().anotherLife(member) || this.vanished.leaving(member);
	}

	/**
	 * A call that failed.
	 *
	 * @param bornMillis the engine's life
	 * @param since when it failed
	 */
	private record Failure(long bornMillis, Instant since) {
	}

}
