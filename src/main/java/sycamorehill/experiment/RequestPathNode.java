package sycamorehill.experiment;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.health.HealthReducer;
import sycamorehill.logic.health.HealthState;
import sycamorehill.logic.quarantine.QuarantineReducer;
import sycamorehill.logic.quarantine.QuarantineState;
import sycamorehill.logic.request.RequestReducer;
import sycamorehill.logic.request.RequestState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.DesiredState;

/**
 * The parts of a node between admission and the targets, without the others: requests,
 * health and quarantine, fed in the order of the whole node. Targets are chosen by the
 * fewest attempts of this node in flight. For experiments and history tests.
 */
public final class RequestPathNode implements NodeView {

	private final NodeIdentity self;

	private final Policy policy;

	private final boolean isolating;

	private final Supplier<List<ServingTarget>> known;

	private final Supplier<LiveNodes> live;

	private final TargetLoad load = new TargetLoad();

	private RequestState request = RequestState.initial();

	private HealthState health = HealthState.initial();

	private QuarantineState quarantine = QuarantineState.initial();

	private Instant now = Instant.EPOCH;

	private RequestPathNode(NodeIdentity self, Policy policy, boolean isolating, Supplier<List<ServingTarget>> known,
			Supplier<LiveNodes> live) {
		this.self = self;
		this.policy = policy;
		this.isolating = isolating;
		this.known = known;
		this.live = live;
	}

	/**
	 * Creates a node.
	 * @param self who it is
	 * @param policy the bounds
	 * @param isolating whether suspects are isolated and quarantined, or left alone
	 * @param known the targets that it knows at any time
	 * @param live the nodes that it takes to be alive at any time
	 * @return the node
	 */
	public static RequestPathNode create(NodeIdentity self, Policy policy, boolean isolating,
			Supplier<List<ServingTarget>> known, Supplier<LiveNodes> live) {
		return new RequestPathNode(self, policy, isolating, known, live);
	}

	/**
	 * Takes an event in, and those that it raises.
	 * @param at the time
	 * @param event what happened
	 * @return what is to be done outside
	 */
	public List<Effect> feed(Instant at, Event event) {
		this.now = at;
		List<Effect> outside = new ArrayList<>();
		Deque<Event> events = new ArrayDeque<>(List.of(event));
		while (!events.isEmpty()) {
			Event next = events.poll();
			count(next);
			this.request = reduce(RequestReducer.create(), this.request, next, events, outside);
			this.health = reduce(HealthReducer.create(), this.health, next, events, outside);
			if (this.isolating) {
				this.quarantine = reduce(QuarantineReducer.create(), this.quarantine, next, events, outside);
			}
		}
		return outside;
	}

	private <S> S reduce(Reducer<S> reducer, S state, Event event, Deque<Event> events, List<Effect> outside) {
		Step<S> step = reducer.reduce(state, this.now, event, this);
		for (Effect effect : step.effects()) {
			if (effect instanceof NodeEffect.Raise raise) {
				events.add(raise.event());
			}
			else {
				outside.add(effect);
			}
		}
		return step.state();
	}

	private void count(Event event) {
		if (event instanceof RequestEvent.AttemptStarted started) {
			this.load.started(started.target().name());
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			this.load.closed(closed.target().name());
		}
	}

	/**
	 * The state of the part request.
	 * @return the state
	 */
	public RequestState request() {
		return this.request;
	}

	/**
	 * The state of the part quarantine.
	 * @return the state
	 */
	public QuarantineState quarantine() {
		return this.quarantine;
	}

	@Override
	public NodeIdentity self() {
		return this.self;
	}

	@Override
	public Policy policy() {
		return this.policy;
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return Optional.empty();
	}

	@Override
	public LiveNodes liveNodes() {
		return this.live.get();
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return this.health.usable(this.known.get(), this.now, this.policy.health());
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return this.load.least(servingTargets(query.request().service()).stream()
			.filter((target) -> !query.excluded().contains(target.name()))
			.toList());
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return this.quarantine.isQuarantined(fingerprint, this.now);
	}

	@Override
	public boolean isSuspect(Fingerprint fingerprint) {
		return this.quarantine.isSuspect(fingerprint, this.now);
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return Optional.empty();
	}

	@Override
	public Optional<Allocation> allocation() {
		return Optional.empty();
	}

}
