package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.OptionalLong;
import java.util.function.Predicate;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;

/**
 * Sends commands to engines, one at a time to each engine.
 */
final class EngineCommandSender {

	private final EngineCommandTracker tracker;

	private EngineCommandSender(EngineCommandTracker tracker) {
		this.tracker = tracker;
	}

	static EngineCommandSender of(EngineCommandTracker tracker) {
		return new EngineCommandSender(tracker);
	}

	boolean isFree(TargetEntry engine, Instant now) {
		return this.tracker.isFree(engine.name(), now);
	}

	boolean isBoundByReport(TargetEntry engine, Predicate<GroupKey> allowed, Instant now) {
		return this.tracker.isBoundByReport(engine.name(), engine.startMillis(), allowed, now);
	}

	/**
	 * Sends a command that names the engine's command count, so that it has no effect if
	 * it arrives after a newer one. If the count is not known, requests the engine's
	 * report instead.
	 * @param engine the engine
	 * @param command the command
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return whether the command was sent
	 */
	boolean send(TargetEntry engine, EngineCommandRequest command, Instant now, Effects effects) {
		if (!isFree(engine, now)) {
			return false;
		}
		OptionalLong count = this.tracker.acceptedCommands(engine.name(), engine.startMillis());
		if (count.isEmpty()) {
			requestReport(engine, now, effects);
			return false;
		}
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.SendCommand(address(engine), command, count.getAsLong()));
		return true;
	}

	/**
	 * Sends a command that names a group and its epoch. It needs no command count,
	 * because it does no harm if it arrives late.
	 * @param engine the engine
	 * @param command the command
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void sendWithoutCount(TargetEntry engine, EngineCommandRequest command, Instant now, Effects effects) {
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.SendCommand(address(engine), command, EntryEffect.SendCommand.ANY_COUNT));
	}

	/**
	 * Requests an engine's report.
	 * @param engine the engine
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void requestReport(TargetEntry engine, Instant now, Effects effects) {
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.ReadReport(address(engine)));
	}

	private static TargetAddress address(TargetEntry engine) {
		return new TargetAddress(engine.name(), engine.address());
	}

}
