package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;

/**
 * State of the part: forming, repairing and draining of model groups.
 *
 * @param lease the controller's lease
 * @param allocation the allocation of the data centre
 * @param pending calls to the platform under way, by number
 * @param orders the last order to each engine
 * @param phaseSince since when, by the own monotonic clock, a group was seen in its
 * generation and phase
 * @param silences claimed VMs that are silent
 * @param failedAt when a load last failed on a VM
 * @param spread the spreading of serving groups between nodes
 * @param offline repairs made while the platform is silent
 * @param nextCall the number of the next call
 * @param nextDecisionAt when the controller decides next
 * @param stopping whether the node stops and takes no duties
 */
public record GroupState(LeaseState lease, AllocationState allocation, PMap<Long, PendingCall> pending,
		PMap<VmName, LastEngineCommand> orders, PMap<GroupName, PhaseStart> phaseSince, VmSilences silences,
		PMap<VmName, Instant> failedAt, GroupPublicationState spread, OfflineState offline, long nextCall,
		Instant nextDecisionAt, boolean stopping) {

	/**
	 * The state of a fresh node.
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
	 * The allocation with what was repaired while the platform was silent.
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
