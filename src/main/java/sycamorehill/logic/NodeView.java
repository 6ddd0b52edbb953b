package sycamorehill.logic;

import java.util.List;
import java.util.Optional;

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
import sycamorehill.model.ticket.Ticket;

/**
 * What one part of the reducer may read of the others.
 */
public interface NodeView {

	/**
	 * Who this node is.
	 * @return the identity
	 */
	NodeIdentity self();

	/**
	 * The tunable bounds.
	 * @return the policy
	 */
	Policy policy();

	/**
	 * The state in force, once the node has one.
	 * @return the truth; empty until it has been read from the platform or a peer
	 */
	Optional<DesiredState> desiredState();

	/**
	 * An accepted ticket.
	 * @param number its number
	 * @return the ticket, if the node still keeps it
	 */
	default Optional<Ticket> ticket(long number) {
		return Optional.empty();
	}

	/**
	 * The nodes taken to be alive.
	 * @return the nodes, this one among them
	 */
	LiveNodes liveNodes();

	/**
	 * Whether this node speaks for its data centre towards the platform and the other
	 * data centres.
	 * @return whether it is one of the delegates
	 */
	default boolean isDelegate() {
		return false;
	}

	/**
	 * The targets of a service that may be given work: whole groups freshly seen, or the
	 * addresses of a plain service, without those put aside or leaving.
	 * @param service the service
	 * @return the targets, in a stable order
	 */
	List<ServingTarget> servingTargets(ServiceName service);

	/**
	 * Chooses a target for a request.
	 * @param query the request and the targets that have already failed it
	 * @return the target, empty if there is none
	 */
	Optional<ServingTarget> chooseTarget(RouteQuery query);

	/**
	 * Whether content is quarantined because it crashed targets.
	 * @param fingerprint the content
	 * @return whether it must not be sent
	 */
	boolean isQuarantined(Fingerprint fingerprint);

	/**
	 * Whether content is suspected of crashing targets, so that it may run only where no
	 * other suspect runs.
	 * @param fingerprint the content
	 * @return whether it has to be isolated
	 */
	default boolean isSuspect(Fingerprint fingerprint) {
		return false;
	}

	/**
	 * The last sight of a VM, of this data centre or of another.
	 * @param vm the VM
	 * @return the sight, if there ever was one
	 */
	Optional<VmObservation> observation(VmName vm);

	/**
	 * The allocation of this node's data centre as last seen.
	 * @return the allocation, if it was ever seen
	 */
	Optional<Allocation> allocation();

	/**
	 * What is known of the VMs of this node's data centre.
	 * @return the fleet
	 */
	default Fleet fleet() {
		return Fleet.empty();
	}

}
