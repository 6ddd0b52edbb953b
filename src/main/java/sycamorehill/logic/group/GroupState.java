package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;

/**
 * Holds the state of group control, which forms, repairs and drains model groups.
 *
 * @param lease the lease of the controller
 * @param allocation the allocation of the data centre
 * @param pending the pending calls to the platform, by number
 * @param orders the last command sent to each engine
 * @param phaseSince the monotonic time since which each group has been observed in its
 * generation and phase
 * @param silences the claimed VMs that are silent
 * @param failedAt the time of the last failed load on each VM
 * @param spread the publication of serving groups to other nodes
 * @param offline the repairs made while the platform does not answer
 * @param nextCall the number of the next call
 * @param nextDecisionAt the time of the controller's next decision
 * @param stopping whether the node is stopping and accepts no duties
 */
public record GroupState(LeaseState lease, AllocationState allocation, PMap<Long, PendingCall> pending,
		PMap<VmName, LastEngineCommand> orders, PMap<GroupName, PhaseStart> phaseSince, VmSilences silences,
		PMap<VmName, Instant> failedAt, GroupPublicationState spread, OfflineState offline, long nextCall,
		Instant nextDecisionAt, boolean stopping) {

	/**
	 * Creates the state of a newly started node.
	 * @return the state before the first event
	 */
	public static GroupState initial() {
		return new GroupState(LeaseState.initial(), AllocationState.initial(), HashTreePMap.empty(),
				HashTreePMap.empty(), HashTreePMap.empty(), VmSilences.none(), HashTreePMap.empty(),
				GroupPublicationState.initial(), OfflineState.initial(), 1, Instant.MIN, false);
	}

	GroupState withLease(LeaseState changed) {
		return new GroupState(changed, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withAllocation(AllocationState changed) {
		return new GroupState(this.lease, changed, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withPending(PMap<Long, PendingCall> changed) {
		return new GroupState(this.lease, this.allocation, changed, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withOrders(PMap<VmName, LastEngineCommand> changed) {
		return new GroupState(this.lease, this.allocation, this.pending, changed, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withObservations(PMap<GroupName, PhaseStart> changedPhases, VmSilences changedSilences,
			PMap<VmName, Instant> changedFailures) {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, changedPhases, changedSilences,
				changedFailures, this.spread, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withPublication(GroupPublicationState changed) {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, changed, this.offline, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	GroupState withOffline(OfflineState changed) {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, changed, this.nextCall, this.nextDecisionAt, this.stopping);
	}

	/**
	 * Returns the allocation including the repairs made while the platform did not
	 * answer.
	 * @return the allocation, empty before the first read
	 */
	Optional<Allocation> effectiveAllocation() {
		return this.allocation.known().map((known) -> this.offline.applyTo(known, this.allocation.version()));
	}

	GroupState withNextCall(long changed) {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, changed, this.nextDecisionAt, this.stopping);
	}

	GroupState withNextDecisionAt(Instant changed) {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, changed, this.stopping);
	}

	GroupState withStopping() {
		return new GroupState(this.lease, this.allocation, this.pending, this.orders, this.phaseSince, this.silences,
				this.failedAt, this.spread, this.offline, this.nextCall, this.nextDecisionAt, true);
	}

	boolean isPending(PendingCall.Purpose purpose) {
		return this.pending.values().stream().anyMatch((call) -> call.purpose() == purpose);
	}

}
