package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionReducer;
import sycamorehill.logic.admission.AdmissionState;
import sycamorehill.logic.routing.RouteContext;
import sycamorehill.logic.routing.RoutingReducer;
import sycamorehill.logic.routing.RoutingState;
import sycamorehill.logic.routing.TargetChooser;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.DesiredState;

/**
 * One node's admission and routing before modelled engines; every request has one
 * attempt.
 */
final class ModelNode implements NodeView {

	private static final Duration LINK = Duration.ofMillis(5);

	private static final Duration TICK = Duration.ofMillis(100);

	private final AdmissionReducer admission = AdmissionReducer.create();

	private final RoutingReducer routing = RoutingReducer.create();

	private final VirtualTime time;

	private final NodeIdentity self;

	private final Setup setup;

	private final Consumer<Served> served;

	private AdmissionState admissionState = AdmissionState.initial();

	private RoutingState routingState = RoutingState.initial();

	private long attempts;

	private ModelNode(VirtualTime time, NodeIdentity self, Setup setup, Consumer<Served> served) {
		this.time = time;
		this.self = self;
		this.setup = setup;
		this.served = served;
		feed(new NodeEvent.Started(self.incarnation().number()));
		tick();
	}

	static ModelNode create(VirtualTime time, NodeIdentity self, Setup setup, Consumer<Served> served) {
		return new ModelNode(time, self, setup, served);
	}

	NodeIdentity identity() {
		return this.self;
	}

	/**
	 * Takes a request in through admission.
	 * @param request the request
	 */
	void arrive(RequestDescription request) {
		feed(new RequestEvent.Arrived(request));
	}

	/**
	 * Sends a request on without asking admission.
	 * @param request the request
	 */
	void send(RequestDescription request) {
		List<ServingTarget> targets = servingTargets(request.service());
		ServingTarget target = this.setup.chooser()
			.choose(targets, new RouteContext(request, this.routingState, this, this.time.now()))
			.orElseThrow();
		AttemptIdentifier attempt = AttemptIdentifier.of(this.self.incarnation(), ++this.attempts);
		feed(new RequestEvent.AttemptStarted(request, attempt, target));
		boolean away = !target.dataCentre().equals(this.self.dataCentre());
		Duration transit = away ? LINK : Duration.ZERO;
		EngineModel engine = this.setup.engines().get(target.members().get(0));
		EngineModel.Work work = new EngineModel.Work(request.promptTokens(), request.maximumTokens(),
				request.prefixHashes(), () -> this.time.after(transit, () -> firstToken(request, attempt, away)),
				() -> this.time.after(transit, () -> end(request, attempt, target)));
		this.time.after(transit, () -> engine.submit(work));
	}

	private void firstToken(RequestDescription request, AttemptIdentifier attempt, boolean away) {
		feed(new RequestEvent.FirstToken(attempt));
		this.served.accept(new Served(request, this.time.now(), away));
	}

	private void end(RequestDescription request, AttemptIdentifier attempt, ServingTarget target) {
		feed(new RequestEvent.AttemptClosed(request, attempt, target,
				new AttemptResult.Completed(request.maximumTokens(), Optional.empty())));
		feed(new RequestEvent.Finished(request, Idempotency.REPEATABLE, new RequestOutcome.Completed(),
				request.maximumTokens(), Optional.empty()));
	}

	private void tick() {
		feed(new NodeEvent.Ticked(this.time.now()));
		this.time.after(TICK, this::tick);
	}

	private void feed(Event first) {
		Deque<Event> events = new ArrayDeque<>();
		events.add(first);
		while (!events.isEmpty()) {
			Event event = events.poll();
			Step<AdmissionState> step = this.admission.reduce(this.admissionState, this.time.now(), event, this);
			this.admissionState = step.state();
			this.routingState = this.routing.reduce(this.routingState, this.time.now(), event, this).state();
			for (Effect effect : step.effects()) {
				if (effect instanceof NodeEffect.Raise raise && raise.event() instanceof RequestEvent.Admitted passed) {
					send(passed.request());
				}
			}
		}
	}

	@Override
	public NodeIdentity self() {
		return this.self;
	}

	@Override
	public Policy policy() {
		return this.setup.policy();
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return Optional.of(this.setup.truth());
	}

	@Override
	public LiveNodes liveNodes() {
		return LiveNodes.empty();
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return this.setup.targets();
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return this.setup.targets().stream().findFirst();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return false;
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return this.setup.engines().get(vm).sight();
	}

	@Override
	public Optional<Allocation> allocation() {
		return Optional.empty();
	}

	/**
	 * What a node of an experiment stands before.
	 *
	 * @param policy the tunable bounds
	 * @param truth the state in force
	 * @param chooser how targets are chosen
	 * @param engines the engines by VM
	 * @param targets the same as targets
	 */
	record Setup(Policy policy, DesiredState truth, TargetChooser chooser, Map<VmName, EngineModel> engines,
			List<ServingTarget> targets) {
	}

	/**
	 * A request whose first token has arrived.
	 *
	 * @param request the request
	 * @param at when
	 * @param away whether from another data centre
	 */
	record Served(RequestDescription request, Instant at, boolean away) {
	}

}
