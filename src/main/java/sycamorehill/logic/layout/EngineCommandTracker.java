package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import sycamorehill.model.identity.TargetName;

/**
 * Tracks how many commands each engine has accepted. A command names the count that it
 * expects: if its answer is lost and it arrives seconds later, it has no effect once the
 * engine has accepted a newer command.
 */
final class EngineCommandTracker {

	/** Time after which a call without an answer counts as lost. */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1200);

	/** Delay before the next call to an engine after a failed one. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	private final Map<TargetName, CommandState> states = new HashMap<>();

	private EngineCommandTracker() {
	}

	static EngineCommandTracker create() {
		return new EngineCommandTracker();
	}

	/**
	 * Returns whether an engine may be called now.
	 * @param name the engine
	 * @param now the current time
	 * @return false while a call is pending, or shortly after a failed one
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
	 * Records an answer saying that the command is in effect already. The engine may have
	 * counted it nevertheless: a command to leave takes effect at once, is counted, and
	 * is answered this way. The count is therefore discarded and read again. With a wrong
	 * count, the engine would refuse the next command to join, which would delay a repair
	 * by another round.
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

	/** Forgets all counts, because another controller may have sent commands. */
	void clear() {
		this.states.clear();
	}

	private CommandState stateOf(TargetName name) {
		return this.states.computeIfAbsent(name, (key) -> new CommandState());
	}

	/**
	 * Holds the command count of one engine, and when it may be called again.
	 */
	private static final class CommandState {

		private long startMillis;

		private OptionalLong acceptedCommands = OptionalLong.empty();

		private Instant busyUntil = Instant.MIN;

	}

}
