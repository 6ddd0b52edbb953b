package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.pcollections.PMap;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.GroupPolicy;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Holds the state that a controller's decision is based on.
 *
 * @param now the current monotonic time of this node
 * @param fleet the known VMs and their reports
 * @param specifications the group specifications of the desired state
 * @param silences the VMs that have been silent while this node observed them
 * @param phaseSince the time since which each group has been in its phase
 * @param failedAt the time of the last failed load on each VM
 * @param observation the policy for observations
 * @param policy the policy for groups
 */
record PlanContext(Instant now, Fleet fleet, List<GroupSpecification> specifications, VmSilences silences,
		PMap<GroupName, PhaseStart> phaseSince, PMap<VmName, Instant> failedAt, ObservationPolicy observation,
		GroupPolicy policy) {

	private static final Duration FAILED_VM_AVOIDANCE_TIME = Duration.ofMinutes(5);

	private static final Duration ROUTING_STOP_DELAY = Duration.ofSeconds(2);

	boolean isReady(VmName vm, GroupIdentity identity) {
		return this.fleet.isObservedReady(vm, identity, this.now, this.observation.freshness());
	}

	boolean isComplete(GroupRecord record) {
		return record.members().stream().allMatch((vm) -> isReady(vm, record.identity()) && !this.fleet.isLeaving(vm));
	}

	boolean isDead(VmName vm) {
		return this.silences.isDead(vm, this.now, this.policy.repair());
	}

	boolean isSilent(VmName vm) {
		return this.silences.since().containsKey(vm);
	}

	/**
	 * Returns whether a member reports that it is no longer in its group.
	 * @param vm the VM
	 * @param record the group
	 * @return whether the engine is in no group or in another one
	 */
	boolean hasLeftGroup(VmName vm, GroupRecord record) {
		return freshReport(vm).filter((report) -> !report.group().equals(Optional.of(record.identity()))).isPresent();
	}

	boolean hasFailed(VmName vm, GroupIdentity identity) {
		return freshReport(vm)
			.filter((report) -> report.state() == EngineState.FAILED && report.group().equals(Optional.of(identity)))
			.isPresent();
	}

	/**
	 * Returns whether a VM may become a member of a group.
	 * @param vm the VM
	 * @return whether it is listed as live, was observed recently and is not leaving
	 */
	boolean isUsable(VmName vm) {
		VmEntry entry = this.fleet.entries().get(vm);
		return entry != null && entry.status() == VmStatus.LIVE && !this.fleet.isLeaving(vm)
				&& freshReport(vm).filter((report) -> !report.leaving()).isPresent();
	}

	/**
	 * Returns the VMs that no group and no standby claims, those without a recent failed
	 * load first.
	 * @param draft the draft allocation
	 * @return the VMs
	 */
	List<VmName> freeVms(AllocationDraft draft) {
		List<VmName> free = new ArrayList<>();
		List<VmName> avoided = new ArrayList<>();
		for (VmName vm : new TreeSet<>(this.fleet.entries().keySet())) {
			if (!draft.isClaimed(vm) && isUsable(vm)) {
				(failedRecently(vm) ? avoided : free).add(vm);
			}
		}
		free.addAll(avoided);
		return free;
	}

	boolean failedRecently(VmName vm) {
		Instant failure = this.failedAt.get(vm);
		return failure != null && failure.plus(FAILED_VM_AVOIDANCE_TIME).isAfter(this.now);
	}

	Optional<FabricDomain> domain(VmName vm) {
		return Optional.ofNullable(this.fleet.entries().get(vm)).map(VmEntry::domain);
	}

	/**
	 * Returns how long a group has been in its phase, as far as this node has observed
	 * it.
	 * @param record the group
	 * @return the duration, zero if the group was not observed in this phase before
	 */
	Duration timeInPhase(GroupRecord record) {
		PhaseStart phaseStart = this.phaseSince.get(record.identity().name());
		boolean same = phaseStart != null && phaseStart.identity().equals(record.identity())
				&& phaseStart.phase() == record.phase();
		return same ? Duration.between(phaseStart.since(), this.now) : Duration.ZERO;
	}

	/**
	 * Returns whether a draining group has completed all its requests. The count of its
	 * head must be more recent than the time at which all nodes have stopped sending:
	 * informed nodes stop at once, partitioned nodes when their observation of the group
	 * is too old.
	 * @param record the draining group
	 * @return whether its head reports no running and no queued requests
	 */
	boolean isDrained(GroupRecord record) {
		Duration settlingTime = this.observation.freshness().plus(ROUTING_STOP_DELAY);
		Duration inPhase = timeInPhase(record);
		if (inPhase.compareTo(settlingTime) <= 0) {
			return false;
		}
		Instant settledAt = this.now.minus(inPhase).plus(settlingTime);
		return this.fleet.observation(record.head())
			.filter((seen) -> seen.seenAt().isAfter(settledAt))
			.map(VmObservation::report)
			.filter((report) -> report.running() == 0 && report.queued() == 0)
			.isPresent();
	}

	private Optional<VmReport> freshReport(VmName vm) {
		return this.fleet.freshObservation(vm, this.now, this.observation.freshness()).map(VmObservation::report);
	}

}
