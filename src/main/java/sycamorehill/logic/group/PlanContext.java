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
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.GroupPolicy;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * What a controller's decision rests on.
 *
 * @param now own monotonic time
 * @param fleet what is known of the VMs
 * @param specifications what the truth asks for
 * @param silences VMs that have been silent while this node watched
 * @param phaseSince since when each group is in its phase
 * @param failedAt when a load last failed on a VM
 * @param observation the bounds of sight
 * @param policy the bounds of group control
 */
record PlanContext(Instant now, Fleet fleet, List<GroupSpecification> specifications, VmSilences silences,
		PMap<GroupName, PhaseStart> phaseSince, PMap<VmName, Instant> failedAt, ObservationPolicy observation,
		GroupPolicy policy) {

	private static final Duration FAILED_VM_AVOIDANCE = Duration.ofMinutes(5);

	private static final Duration ROUTING_STOP_DELAY = Duration.ofSeconds(2);

	boolean isReady(VmName vm, GroupIdentity identity) {
		return this.fleet.seenReady(vm, identity, this.now, this.observation.freshness());
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
	 * Whether a member of a loaded group is in it no more, by its own word.
	 * @param vm the VM
	 * @param record the group
	 * @return whether the engine has lost the group
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
	 * Whether a VM may be given to a group.
	 * @param vm the VM
	 * @return whether it is listed as live, freshly seen and not said to leave
	 */
	boolean isUsable(VmName vm) {
		VmEntry entry = this.fleet.entries().get(vm);
		return entry != null && entry.status() == VmStatus.LIVE && !this.fleet.isLeaving(vm)
				&& freshReport(vm).filter((report) -> !report.leaving()).isPresent();
	}

	/**
	 * The VMs that nothing claims, those without a recent failed load first.
	 * @param draft the allocation under change
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
		return failure != null && failure.plus(FAILED_VM_AVOIDANCE).isAfter(this.now);
	}

	Optional<FabricDomain> domain(VmName vm) {
		return Optional.ofNullable(this.fleet.entries().get(vm)).map(VmEntry::domain);
	}

	/**
	 * How long a group has been in its phase, as far as this node knows.
	 * @param record the group
	 * @return the time, zero if it was not seen so before
	 */
	Duration timeInPhase(GroupRecord record) {
		PhaseStart phaseStart = this.phaseSince.get(record.identity().name());
		boolean same = phaseStart != null && phaseStart.identity().equals(record.identity())
				&& phaseStart.phase() == record.phase();
		return same ? Duration.between(phaseStart.since(), this.now) : Duration.ZERO;
	}

	/**
	 * Whether a draining group runs nothing any more. The count asked for must be from
	 * after every node has stopped sending: those that heard of the drain at once, those
	 * that are cut off when their sight of the group has aged.
	 * @param record the draining group
	 * @return whether its head counts no work
	 */
	boolean isDrained(GroupRecord record) {
		Duration settlingTime = this.observation.freshness().plus(ROUTING_STOP_DELAY);
		Duration inPhase = timeInPhase(record);
		if (inPhase.compareTo(settlingTime) <= 0) {
			return false;
		}
		Instant settledAt = this.now.minus(inPhase).plus(settlingTime);
		return this.fleet.sight(record.head())
			.filter((seen) -> seen.seenAt().isAfter(settledAt))
			.map(VmSight::report)
			.filter((report) -> report.running() == 0 && report.queued() == 0)
			.isPresent();
	}

	private Optional<VmReport> freshReport(VmName vm) {
		return this.fleet.freshSight(vm, this.now, this.observation.freshness()).map(VmSight::report);
	}

}
