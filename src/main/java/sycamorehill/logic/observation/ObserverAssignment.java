package sycamorehill.logic.observation;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

import sycamorehill.logic.NodeView;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Determines which VMs this node observes. VMs are hashed into shares of about equal
 * size. The observers of each share are selected among the live nodes by rendezvous
 * hashing.
 */
final class ObserverAssignment {

	private ObserverAssignment() {
	}

	/**
	 * Returns the VMs that this node observes.
	 * @param vms all VMs of the data centre
	 * @param count the number of VMs
	 * @param view the view of this node
	 * @return the observed VMs, which are all VMs while the data centre has no more live
	 * nodes than observers per VM
	 */
	static PSet<VmName> observedVms(Iterable<VmName> vms, int count, NodeView view) {
		ObservationPolicy policy = view.policy().observation();
		List<LiveNode> nodes = view.liveNodes().notStoppingIn(view.self().dataCentre());
		PSet<VmName> observed = HashTreePSet.empty();
		if (count == 0) {
			return observed;
		}
		int shares = (count + policy.vmsPerShare() - 1) / policy.vmsPerShare();
		boolean[] assigned = new boolean[shares];
		for (int share = 0; share < shares; share++) {
			assigned[share] = nodes.size() <= policy.observersPerVm() || isObserver(nodes, share, policy, view);
		}
		for (VmName vm : vms) {
			if (assigned[shareOf(vm, shares)]) {
				observed = observed.plus(vm);
			}
		}
		return observed;
	}

	private static int shareOf(VmName vm, int shares) {
		return (int) Math.floorMod(Hashing.komihash5_0().hashCharsToLong(vm.value()), (long) shares);
	}

	private static boolean isObserver(List<LiveNode> nodes, int share, ObservationPolicy policy, NodeView view) {
		NodeName self = view.self().incarnation().node();
		long own = weight(self, share);
		long higherRanked = nodes.stream()
			.map((node) -> node.identity().incarnation().node())
			.filter((node) -> !node.equals(self))
			.filter((node) -> weight(node, share) < own)
			.limit(policy.observersPerVm())
			.count();
		boolean eligible = nodes.stream().anyMatch((node) -> node.identity().incarnation().node().equals(self));
		return eligible && higherRanked < policy.observersPerVm();
	}

	private static long weight(NodeName node, int share) {
		return Hashing.komihash5_0().hashStream().putInt(share).putString(node.value()).getAsLong();
	}

}
