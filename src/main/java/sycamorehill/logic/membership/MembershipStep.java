package sycamorehill.logic.membership;

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
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.MembershipPolicy;
import sycamorehill.model.ticket.DesiredState;

/**
 * Collects the state changes and the effects of one step of node membership.
 */
final class MembershipStep {

	private final Instant now;

	private final NodeView view;

	private final List<Effect> effects = new ArrayList<>();

	private MembershipState state;

	private MembershipStep(MembershipState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	static MembershipStep of(MembershipState state, Instant now, NodeView view) {
		return new MembershipStep(state, now, view);
	}

	Step<MembershipState> end() {
		return Step.of(this.state, List.copyOf(this.effects));
	}

	MembershipState state() {
		return this.state;
	}

	Instant now() {
		return this.now;
	}

	NodeView view() {
		return this.view;
	}

	NodeIdentity self() {
		return this.view.self();
	}

	MembershipPolicy policy() {
		return this.view.policy().membership();
	}

	void set(MembershipState changed) {
		this.state = changed;
	}

	void log(LogEvent event, String detail) {
		this.effects.add(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

	void send(NodeIdentity to, PeerMessage message) {
		this.effects.add(new PeerEffect.Send(to, message));
	}

	void set(PeerObservations changed) {
		this.state = this.state.withObservations(changed);
	}

	void set(TicketProgress changed) {
		this.state = this.state.withProgress(changed);
	}

	PeerObservations observations() {
		return this.state.sightings();
	}

	TicketProgress progress() {
		return this.state.progress();
	}

	DataCentreName ownDataCentre() {
		return self().dataCentre();
	}

	DataCentreView ownView() {
		return this.state.sightings().view(ownDataCentre(), this.now);
	}

	boolean isDelegate() {
		return this.state.hasDelegateRole();
	}

	/**
	 * Returns the time between two heartbeats. It grows with the size of the data centre,
	 * so that each delegate receives at most the configured number of heartbeats per
	 * second.
	 * @return the interval
	 */
	Duration heartbeatInterval() {
		Duration scaled = Duration.ofSeconds(1)
			.multipliedBy(ownView().members().size())
			.dividedBy(policy().heartbeatsPerSecond());
		return (scaled.compareTo(policy().shortestInterval()) > 0) ? scaled : policy().shortestInterval();
	}

	/**
	 * Returns how long a node may be silent before it is considered dead.
	 * @return the timeout
	 */
	Duration silenceTimeout() {
		Duration interval = heartbeatInterval();
		return interval.multipliedBy(policy().missedHeartbeats()).plus(interval.dividedBy(2));
	}

	long ticketNumber() {
		return this.view.desiredState().map(DesiredState::number).orElse(-1L);
	}

	void addEffect(Effect effect) {
		this.effects.add(effect);
	}

	void call(MembershipCall purpose, PlatformRequest request) {
		MembershipState.DiscoveryState introduction = this.state.introduction();
		long number = introduction.nextCall();
		this.state = this.state
			.withIntroduction(introduction.withCalls(introduction.calls().plus(number, purpose), number + 1)
				.withBudget(introduction.budget().recordCall(this.now)));
		this.effects.add(new PlatformEffect.Call(CallIdentifier.of(CallOwner.MEMBERSHIP, number), request,
				policy().callTimeout()));
	}

	/**
	 * Closes a platform call. A duplicate answer finds the call closed and is ignored.
	 * @param number the number of the call
	 * @return the purpose of the call, or null if it is not open
	 */
	MembershipCall closeCall(long number) {
		MembershipState.DiscoveryState introduction = this.state.introduction();
		MembershipCall purpose = introduction.calls().get(number);
		if (purpose != null) {
			this.state = this.state
				.withIntroduction(introduction.withCalls(introduction.calls().minus(number), introduction.nextCall()));
		}
		return purpose;
	}

}
