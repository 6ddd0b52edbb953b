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

	private final TargetDirectory directory;

	private final Map<TargetName, Failure> lost = new HashMap<>();

	private LostEngines(TargetDirectory directory) {
		this.directory = directory;
	}

	static LostEngines of(TargetDirectory directory) {
		return new LostEngines(directory);
	}

	void add(TargetEntry engine, Instant now) {
		this.lost.put(engine.name(), new Failure(engine.bornMillis(), now));
	}

	void reached(TargetName engine) {
		this.lost.remove(engine);
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
		return present.isEmpty() || present.get().anotherLife(member) || present.get().leaving()
				|| contains(present.get());
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
