package sycamorehill.logic.admission;

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
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Item;

/**
 * A view of the node's other parts whose contents the test sets.
 */
public final class FakeNodeView implements NodeView {

	private final NodeIdentity self;

	private final List<AppliedItem> items = new ArrayList<>();

	private final Set<Fingerprint> quarantined = new HashSet<>();

	private final Map<VmName, VmObservation> observations = new HashMap<>();

	private List<ServingTarget> targets = List.of();

	private Optional<DesiredState> desiredState = Optional.empty();

	private LiveNodes liveNodes = LiveNodes.empty();

	private Policy policy = Policy.standard();

	private FakeNodeView(NodeIdentity self) {
		this.self = self;
	}

	public static FakeNodeView of(String node, String dataCentre) {
		return new FakeNodeView(new NodeIdentity(NodeIncarnation.of(NodeName.of(node), 1),
				DataCentreName.of(dataCentre), Address.of("127.0.0.1", 1000)));
	}

	public static FakeNodeView of(NodeIdentity self) {
		return new FakeNodeView(self);
	}

	public FakeNodeView with(Item... more) {
		for (Item item : more) {
			this.items.add(new AppliedItem(item, 1));
		}
		this.desiredState = Optional.of(DesiredState.of(1, this.items));
		return this;
	}

	public FakeNodeView quarantine(Fingerprint fingerprint) {
		this.quarantined.add(fingerprint);
		return this;
	}

	public FakeNodeView targets(List<ServingTarget> changed) {
		this.targets = List.copyOf(changed);
		return this;
	}

	public FakeNodeView liveNodes(LiveNodes changed) {
		this.liveNodes = changed;
		return this;
	}

	public FakeNodeView policy(Policy changed) {
		this.policy = changed;
		return this;
	}

	public FakeNodeView withObservation(VmObservation observation) {
		this.observations.put(observation.report().vm(), observation);
		return this;
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
		return this.desiredState;
	}

	@Override
	public LiveNodes liveNodes() {
		return this.liveNodes;
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return this.targets;
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return this.targets.stream().findFirst();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return this.quarantined.contains(fingerprint);
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
