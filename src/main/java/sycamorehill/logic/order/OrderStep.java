package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * Collects the state changes and effects of one reduction step. An instance is used for a
 * single step.
 */
final class OrderStep {

	private static final Duration MINIMUM_LOG_INTERVAL = Duration.ofSeconds(10);

	private final Instant now;

	private final NodeView view;

	private final List<Effect> effects = new ArrayList<>();

	private final Deque<PeerMessage> messagesToSelf = new ArrayDeque<>();

	private OrderState state;

	OrderStep(OrderState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	Step<OrderState> result() {
		return Step.of(this.state, this.effects);
	}

	OrderState state() {
		return this.state;
	}

	void replaceState(OrderState value) {
		this.state = value;
	}

	Instant now() {
		return this.now;
	}

	NodeView view() {
		return this.view;
	}

	OrderPolicy policy() {
		return this.view.policy().order();
	}

	ClaimRules rules() {
		return ClaimRules.of(this.view, this.state.wallClock());
	}

	/**
	 * Sends a message. A message to this node itself is handled in the same step.
	 * @param to the receiving node
	 * @param message the message
	 */
	void send(NodeIdentity to, PeerMessage message) {
		if (to.incarnation().equals(this.view.self().incarnation())) {
			this.messagesToSelf.add(message);
			return;
		}
		this.effects.add(new PeerEffect.Send(to, message));
	}

	PeerMessage nextMessageToSelf() {
		return this.messagesToSelf.poll();
	}

	long callPlatform(int shard, PlatformRequest request) {
		this.state = this.state.withCall(shard);
		long number = this.state.lastCall();
		this.effects.add(new PlatformEffect.Call(CallIdentifier.of(CallOwner.ORDERS, number), request,
				policy().platformTimeout()));
		return number;
	}

	void raise(RequestEvent event) {
		this.effects.add(new NodeEffect.Raise(event));
	}

	void refuse(RequestDescription request, RequestOutcome outcome) {
		raise(new RequestEvent.Refused(request.identifier(), outcome));
	}

	void log(LogEvent event, String detail) {
		this.effects.add(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

	/**
	 * Logs an event that may occur with every order, at most once per interval. All
	 * events logged by this method share the interval.
	 * @param event the event
	 * @param detail the details of the event
	 */
	void logRateLimited(LogEvent event, String detail) {
		if (!this.now.isBefore(this.state.quietUntil())) {
			this.state = this.state.withQuietUntil(this.now.plus(MINIMUM_LOG_INTERVAL));
			log(event, detail);
		}
	}

}
