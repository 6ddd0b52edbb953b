package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.Membership;

/**
 * Tracks how many commands each engine has accepted. A command names the count that it
 * expects: if its answer is lost and it arrives seconds later, it has no effect once the
 * engine has accepted a newer command.
 *
 * The count goes with the group that the engine was in when it had that count. Each join
 * changes the count, so that a join that was decided with both can't take the engine out
 * of a group that it has joined meanwhile.
 */
final class EngineCommandTracker {

	/** Time after which a call without an answer counts as lost. */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1200);

	/** Delay before the next call to an engine after a failed one. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	/**
	 * Time within which the store lists the group that an engine has reported itself.
	 */
	private static final Duration LISTING_DELAY = Duration.ofSeconds(3);

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

	/**
	 * Returns whether an engine was in a group by its own last report that it can't be
	 * taken out of. A report that the store should have confirmed by now is forgotten
	 * together with its count.
	 * @param name the engine
	 * @param startMillis the start time of its process in milliseconds
	 * @param allowed tells whether an engine may join another group out of a group
	 * @param now the current time
	 * @return false if it was in none, or if nothing is known of it
	 */
	boolean isBoundByReport(TargetName name, long startMillis, Predicate<GroupKey> allowed, Instant now) {
		CommandState state = this.states.get(name);
		if (state == null || state.startMillis != startMillis || state.acceptedCommands.isEmpty()
				|| state.group.filter(allowed.negate()).isEmpty()) {
			return false;
		}
		if (now.isAfter(state.groupKnownAt.plus(LISTING_DELAY))) {
			state.acceptedCommands = OptionalLong.empty();
			return false;
		}
		return true;
	}

	void recordCall(TargetName name, Instant now) {
		stateOf(name).busyUntil = now.plus(ANSWER_TIMEOUT);
	}

	void recordAccepted(TargetName name, EngineCommandRequest command, Instant now) {
		CommandState state = stateOf(name);
		state.busyUntil = Instant.MIN;
		if (command instanceof EngineCommandRequest.Join join) {
			state.group = Optional.of(new GroupKey(join.group(), join.epoch()));
			state.groupKnownAt = now;
		}
		else if (command instanceof EngineCommandRequest.Leave) {
			state.group = Optional.empty();
		}
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

	/**
	 * Records an engine's own report.
	 * @param name the engine
	 * @param startMillis the start time of its process in milliseconds
	 * @param acceptedCommands the number of commands that it has accepted
	 * @param membership its membership in a group
	 * @param now the current time
	 */
	void recordReport(TargetName name, long startMillis, long acceptedCommands, Optional<Membership> membership,
			Instant now) {
		CommandState state = stateOf(name);
		state.startMillis = startMillis;
		state.acceptedCommands = OptionalLong.of(acceptedCommands);
		state.group = membership.map((reported) -> new GroupKey(reported.group(), reported.epoch()));
		state.groupKnownAt = now;
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
	 * Holds the command count of one engine, its group at that count, and when it may be
	 * called again.
	 */
	private static final class CommandState {

		private long startMillis;

		private OptionalLong acceptedCommands = OptionalLong.empty();

		private Optional<GroupKey> group = Optional.empty();

		private Instant groupKnownAt = Instant.MIN;

		private Instant busyUntil = Instant.MIN;

	}

}
