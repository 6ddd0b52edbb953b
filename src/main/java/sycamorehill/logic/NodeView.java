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
 * Gives one reducer of a node read access to the state of the others.
 */
public interface NodeView {

	/**
	 * Returns the identity of this node.
	 * @return the identity
	 */
	NodeIdentity self();

	/**
	 * Returns the configurable limits of this node.
	 * @return the policy
	 */
	Policy policy();

	/**
	 * Returns the desired state that this node has applied.
	 * @return the desired state, empty until it has been read from the platform or a peer
	 */
	Optional<DesiredState> desiredState();

	/**
	 * Returns an accepted ticket.
	 * @param number the number of the ticket
	 * @return the ticket, empty if the node no longer keeps it
	 */
	default Optional<Ticket> ticket(long number) {
		return Optional.empty();
	}

	/**
	 * Returns the nodes that this node considers live.
	 * @return the live nodes, including this one
	 */
	LiveNodes liveNodes();

	/**
	 * Returns whether this node is a delegate: a node that communicates with the platform
	 * and with other data centres on behalf of its own data centre.
	 * @return whether this node is a delegate
	 */
	default boolean isDelegate() {
		return false;
	}

	/**
	 * Returns the targets of a service that may receive requests: complete groups with a
	 * recent observation, or the addresses of a plain service. Ejected and leaving
	 * targets are left out.
	 * @param service the service
	 * @return the targets, in a stable order
	 */
	List<ServingTarget> servingTargets(ServiceName service);

	/**
	 * Chooses a target for a request.
	 * @param query the request and the targets on which it has already failed
	 * @return the target, empty if no target is available
	 */
	Optional<ServingTarget> chooseTarget(RouteQuery query);

	/**
	 * Returns whether content is quarantined because it crashed targets.
	 * @param fingerprint the fingerprint of the content
	 * @return whether the content must not be sent to any target
	 */
	boolean isQuarantined(Fingerprint fingerprint);

	/**
	 * Returns whether content is suspected of crashing targets. Such content may run only
	 * on a target that runs no other suspect content.
	 * @param fingerprint the fingerprint of the content
	 * @return whether the content must run isolated
	 */
	default boolean isSuspect(Fingerprint fingerprint) {
		return false;
	}

	/**
	 * Returns the latest observation of a VM in this or another data centre.
	 * @param vm the VM
	 * @return the observation, empty if the VM was never observed
	 */
	Optional<VmObservation> observation(VmName vm);

	/**
	 * Returns the allocation of this node's data centre as last read.
	 * @return the allocation, empty if it was never read
	 */
	Optional<Allocation> allocation();

	/**
	 * Returns what is known about the VMs of this node's data centre.
	 * @return the fleet
	 */
	default Fleet fleet() {
		return Fleet.empty();
	}

}
