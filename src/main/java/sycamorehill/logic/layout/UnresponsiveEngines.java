package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Tracks engines whose calls fail and that may yet answer, each for the incarnation that
 * was called. A process that pauses can't be told from one that hangs. A group whose
 * member pauses is whole, and goes on by itself unless it is disbanded.
 */
final class UnresponsiveEngines {

	private final TargetDirectory directory;

	private final Duration maximumSilence;

	private final Map<TargetName, Silence> silences = new HashMap<>();

	private UnresponsiveEngines(TargetDirectory directory, Duration maximumSilence) {
		this.directory = directory;
		this.maximumSilence = maximumSilence;
	}

	/**
	 * Creates a tracker.
	 * @param directory the directory of targets
	 * @param maximumSilence time without an answer after which an engine counts as lost
	 * @return the tracker
	 */
	static UnresponsiveEngines of(TargetDirectory directory, Duration maximumSilence) {
		return new UnresponsiveEngines(directory, maximumSilence);
	}

	/**
	 * Records a call that was sent and not answered.
	 * @param engine the engine
	 * @param now the current time
	 * @return true if it is the first one since the engine's last answer
	 */
	boolean recordUnanswered(TargetEntry engine, Instant now) {
		if (contains(engine)) {
			return false;
		}
		this.silences.put(engine.name(), new Silence(engine.startMillis(), now));
		return true;
	}

	/**
	 * Forgets the silence of an engine that has answered, or counts as lost.
	 * @param engine the engine
	 */
	void forget(TargetName engine) {
		this.silences.remove(engine);
	}

	/** Forgets the engines that the directory has forgotten. */
	void keepOnlyKnown() {
		this.silences.keySet()
			.removeIf((name) -> this.directory.find(name).isEmpty() && this.directory.findVanished(name).isEmpty());
	}

	boolean contains(TargetEntry engine) {
		Silence silence = this.silences.get(engine.name());
		return silence != null && silence.startMillis() == engine.startMillis();
	}

	/**
	 * Returns whether an engine hasn't answered for so long that it counts as lost.
	 * @param engine the engine
	 * @param now the current time
	 * @return true if it counts as lost
	 */
	boolean isLost(TargetEntry engine, Instant now) {
		return contains(engine) && !now.isBefore(this.silences.get(engine.name()).since().plus(this.maximumSilence));
	}

	/**
	 * A time in which calls were not answered.
	 *
	 * @param startMillis the start time of the engine's process in milliseconds, which
	 * identifies its incarnation
	 * @param since when the first call was found to be unanswered
	 */
	private record Silence(long startMillis, Instant since) {
	}

}
