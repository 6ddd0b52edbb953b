package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import sycamorehill.model.identity.TargetName;

/**
 * What the controller knows of the engines' counts of orders. Each order names the count
 * that it expects: an order whose answer was lost may be carried out seconds later, and
 * any newer order that was accepted makes it void.
 */
final class EngineCommandTracker {

	/** Time after which an unanswered call is taken as lost. */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1200);

	/** Pause before an engine is asked again after a call to it failed. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	private final Map<TargetName, CommandState> states = new HashMap<>();

	private EngineCommandTracker() {
	}

	static EngineCommandTracker create() {
		return new EngineCommandTracker();
	}

	/**
	 * Whether an engine may be called now.
	 * @param name the engine
	 * @param now the present time
	 * @return false while an answer is awaited, or shortly after a failure
	 */
	boolean isFree(TargetName name, Instant now) {
		CommandState state = this.states.get(name);
		return state == null || !now.isBefore(state.busyUntil);
	}

	OptionalLong acceptedCommands(TargetName name, long startMillis) {
		CommandState state = this.states.get(name);
		return (state == null || state.startMillis != startMillis) ? OptionalLong.empty() : state.acceptedCommands;
	}

	void recordCall(TargetName name, Instant now) {
		stateOf(name).busyUntil = now.plus(ANSWER_TIMEOUT);
	}

	void recordAccepted(TargetName name) {
		CommandState state = stateOf(name);
		state.busyUntil = Instant.MIN;
		if (state.acceptedCommands.isPresent()) {
			state.acceptedCommands = OptionalLong.of(state.acceptedCommands.getAsLong() + 1);
		}
	}

	/**
	 * Notes that an order holds without having begun now. Whether it was counted is not
	 * known: an order to leave takes effect at once, is counted and answered in this way.
	 * Taken as not counted, the next order to join would be refused, and a repair delayed
	 * by another round. The count is asked for instead.
	 * @param name the engine
	 */
	void recordAlreadyInEffect(TargetName name) {
		CommandState state = stateOf(name);
		state.acceptedCommands = OptionalLong.empty();
		state.busyUntil = Instant.MIN;
	}

	void recordFailure(TargetName name, Instant now) {
		CommandState state = stateOf(name);
		state.acceptedCommands = OptionalLong.empty();
		state.busyUntil = now.plus(RETRY_DELAY);
	}

	void recordCount(TargetName name, long startMillis, long acceptedCommands) {
		CommandState state = stateOf(name);
		state.startMillis = startMillis;
		state.acceptedCommands = OptionalLong.of(acceptedCommands);
		state.busyUntil = Instant.MIN;
	}

	/** Forgets all counts: another controller may have given orders meanwhile. */
	void clear() {
		this.states.clear();
	}

	private CommandState stateOf(TargetName name) {
		return this.states.computeIfAbsent(name, (key) -> new CommandState());
	}

	/**
	 * What is known of one engine.
	 */
	private static final class CommandState {

		private long startMillis;

		private OptionalLong acceptedCommands = OptionalLong.empty();

		private Instant busyUntil = Instant.MIN;

	}

}
