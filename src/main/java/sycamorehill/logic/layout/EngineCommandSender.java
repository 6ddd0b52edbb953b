package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.OptionalLong;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;

/**
 * Sends orders to engines, one at a time to each.
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

	/**
	 * Sends an order that names the engine's count of orders: carried out late, after a
	 * newer one, it is void. A count that is not known is asked for first.
	 * @param engine the engine
	 * @param command the order
	 * @param now the present time
	 * @param effects collects what is wanted
	 * @return whether the order was sent
	 */
	boolean send(TargetEntry engine, EngineOrderCall command, Instant now, Effects effects) {
		if (!isFree(engine, now)) {
			return false;
		}
		OptionalLong count = this.tracker.acceptedCommands(engine.name(), engine.bornMillis());
		if (count.isEmpty()) {
			requestReport(engine, now, effects);
			return false;
		}
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.SendOrder(address(engine), command, count.getAsLong()));
		return true;
	}

	/**
	 * Sends an order that names a group and its epoch: carried out late it does no harm,
	 * so it needs no count.
	 * @param engine the engine
	 * @param command the order
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void sendWithoutCount(TargetEntry engine, EngineOrderCall command, Instant now, Effects effects) {
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.SendOrder(address(engine), command, EntryEffect.SendOrder.ANY_COUNT));
	}

	/**
	 * Asks an engine for its report.
	 * @param engine the engine
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void requestReport(TargetEntry engine, Instant now, Effects effects) {
		this.tracker.recordCall(engine.name(), now);
		effects.add(new EntryEffect.ReadReport(address(engine)));
	}

	private static TargetAddress address(TargetEntry engine) {
		return new TargetAddress(engine.name(), engine.address());
	}

}
