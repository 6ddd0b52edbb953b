package sycamorehill.logic.ticket;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.TicketPolicy;

/**
 * Holds the changed state and the collected effects while one event is handled.
 */
final class TicketStep {

	private final Instant now;

	private final NodeView view;

	private final List<Effect> effects = new ArrayList<>();

	private TicketState state;

	private TicketStep(TicketState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	static TicketStep of(TicketState state, Instant now, NodeView view) {
		return new TicketStep(state, now, view);
	}

	Step<TicketState> finish() {
		return Step.of(this.state, List.copyOf(this.effects));
	}

	TicketState state() {
		return this.state;
	}

	TicketLog log() {
		return this.state.log();
	}

	Synchronisation sync() {
		return this.state.sync();
	}

	Instant now() {
		return this.now;
	}

	NodeView view() {
		return this.view;
	}

	TicketPolicy policy() {
		return this.view.policy().ticket();
	}

	void set(TicketState changed) {
		this.state = changed;
	}

	void set(TicketLog changed) {
		this.state = this.state.withLog(changed);
	}

	void set(Synchronisation changed) {
		this.state = this.state.withSync(changed);
	}

	void set(Compaction changed) {
		this.state = this.state.withCompaction(changed);
	}

	void add(Effect effect) {
		this.effects.add(effect);
	}

	void log(LogEvent event, String detail) {
		this.effects.add(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

	void send(NodeIdentity to, PeerMessage message) {
		this.effects.add(new PeerEffect.Send(to, message));
	}

	void call(TicketCallPurpose purpose, PlatformRequest request) {
		call(purpose, request, policy().callTimeout());
	}

	void call(TicketCallPurpose purpose, PlatformRequest request, Duration timeout) {
		long number = this.state.nextCall();
		this.state = this.state.withCalls(this.state.calls().plus(number, purpose), number + 1);
		this.effects.add(new PlatformEffect.Call(CallIdentifier.of(CallOwner.TICKETS, number), request, timeout));
	}

	/**
	 * Closes a platform call. A duplicate answer finds its call closed and is dropped.
	 * @param number the number of the call
	 * @return the purpose of the call, or null if the call is not open
	 */
	TicketCallPurpose closeCall(long number) {
		TicketCallPurpose purpose = this.state.calls().get(number);
		if (purpose != null) {
			this.state = this.state.withCalls(this.state.calls().minus(number), this.state.nextCall());
		}
		return purpose;
	}

}
