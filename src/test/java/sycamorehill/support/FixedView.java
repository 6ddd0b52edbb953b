package sycamorehill.support;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.NodeView;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.DesiredState;

/**
 * What a part under test reads of the others, set by hand.
 */
public final class FixedView implements NodeView {

	private static final int PEER_PORT = 7000;

	private final NodeIdentity self;

	private final List<ServingTarget> targets = new ArrayList<>();

	private final Set<Fingerprint> quarantine = new HashSet<>();

	private final Map<VmName, VmObservation> observations = new HashMap<>();

	private LiveNodes liveNodes = LiveNodes.empty();

	private FixedView(NodeIdentity self) {
		this.self = self;
	}

	/**
	 * Creates the view of a node.
	 * @param name the node's name
	 * @return the view, without any target
	 */
	public static FixedView of(String name) {
		NodeIncarnation incarnation = NodeIncarnation.of(NodeName.of(name), 1);
		return new FixedView(
				new NodeIdentity(incarnation, DataCentreName.of("east"), Address.of("127.0.0.1", PEER_PORT)));
	}

	/**
	 * The targets that may be given work; the first that is not excluded is chosen.
	 * @return the list, to be changed by tests
	 */
	public List<ServingTarget> targets() {
		return this.targets;
	}

	/**
	 * The quarantined content.
	 * @return the set, to be changed by tests
	 */
	public Set<Fingerprint> quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns the latest observations of VMs.
	 * @return the observations, to be changed by tests
	 */
	public Map<VmName, VmObservation> observations() {
		return this.observations;
	}

	/**
	 * Adds a live node.
	 * @param node the node
	 */
	public void live(LiveNode node) {
		this.liveNodes = new LiveNodes(this.liveNodes.nodes().plus(node.identity().incarnation().node(), node));
	}

	@Override
	public NodeIdentity self() {
		return this.self;
	}

	@Override
	public Policy policy() {
		return Policy.standard();
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return Optional.empty();
	}

	@Override
	public LiveNodes liveNodes() {
		return this.liveNodes;
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return this.targets.stream().filter((target) -> target.service().equals(service)).toList();
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return servingTargets(query.request().service()).stream()
			.filter((target) -> !query.excluded().contains(target.name()))
			.findFirst();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return this.quarantine.contains(fingerprint);
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return Optional.ofNullable(this.observations.get(vm));
	}

	@Override
	public Optional<Allocation> allocation() {
		return Optional.empty();
	}

}
