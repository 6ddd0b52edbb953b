package sycamorehill.experiment;

import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
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
 * What the order part reads of the others, in a trial or a history test.
 *
 * @param self who the node is
 * @param policy the bounds
 * @param liveNodes the nodes alive
 */
public record OrderTrialView(NodeIdentity self, Policy policy, LiveNodes liveNodes) implements NodeView {

	@Override
	public Optional<DesiredState> desiredState() {
		return Optional.empty();
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return List.of();
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return Optional.empty();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return false;
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
