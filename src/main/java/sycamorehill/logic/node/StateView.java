package sycamorehill.logic.node;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.group.ServingGroups;
import sycamorehill.logic.routing.RouteContext;
import sycamorehill.logic.routing.TargetChooser;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.Fleet;
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
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.ServiceKind;
import sycamorehill.model.ticket.Ticket;

/**
 * Implements the read access of the parts to each other, based on one state of the node.
 */
final class StateView implements NodeView {

	private static final TargetChooser CHOOSER = TargetChooser.lowestPredictedLatency();

	private final NodeState state;

	private final Instant now;

	private StateView(NodeState state, Instant now) {
		this.state = state;
		this.now = now;
	}

	static StateView of(NodeState state, Instant now) {
		return new StateView(state, now);
	}

	@Override
	public NodeIdentity self() {
		return this.state.self();
	}

	@Override
	public Policy policy() {
		return this.state.policy();
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return this.state.ticket().log().truth();
	}

	@Override
	public Optional<Ticket> ticket(long number) {
		return this.state.ticket().log().ticket(number);
	}

	@Override
	public boolean isDelegate() {
		return this.state.membership().delegate();
	}

	@Override
	public LiveNodes liveNodes() {
		return this.state.membership().liveNodes();
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return this.state.health().usable(knownTargets(service), this.now, policy().health());
	}

	private List<ServingTarget> knownTargets(ServiceName service) {
		Optional<ServiceItem> item = desiredState().flatMap((state) -> state.service(service));
		if (item.filter((found) -> found.kind() == ServiceKind.PLAIN).isPresent()) {
			return item.get().plainTargets().stream().map((target) -> toServingTarget(service, target)).toList();
		}
		return ServingGroups.of(this.state.group(), this, service, this.now);
	}

	private static ServingTarget toServingTarget(ServiceName service, PlainTarget target) {
		return new ServingTarget(target.name(), service, target.dataCentre(), target.address(), Optional.empty(),
				List.of());
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		List<ServingTarget> targets = servingTargets(query.request().service()).stream()
			.filter((target) -> !query.excluded().contains(target.name()))
			.toList();
		return CHOOSER.choose(targets, new RouteContext(query.request(), this.state.routing(), this, this.now));
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return this.state.quarantine().isQuarantined(fingerprint, this.now);
	}

	@Override
	public boolean isSuspect(Fingerprint fingerprint) {
		return this.state.quarantine().isSuspect(fingerprint, this.now);
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return fleet().observation(vm).or(() -> ServingGroups.publishedHeadObservation(this.state.group(), vm));
	}

	@Override
	public Optional<Allocation> allocation() {
		return this.state.group().allocation().known();
	}

	@Override
	public Fleet fleet() {
		return this.state.observation().fleet();
	}

}
