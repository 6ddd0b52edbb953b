package sycamorehill.model.group;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.VmName;

/**
 * The state of the VMs of a data centre, as one of its nodes knows it.
 *
 * @param entries the entries of the VM list as last read
 * @param listedAt the monotonic time of this node at the last read of the list, empty
 * before the first
 * @param sights the latest observation of each VM
 * @param leaving the VMs that are about to leave according to the VM list, their own
 * report or another notice
 * @param refusals the VMs whose address has refused connections since their last
 * observation, with the time of the first refusal
 */
public record Fleet(PMap<VmName, VmEntry> entries, Optional<Instant> listedAt, PMap<VmName, VmObservation> sights,
		PMap<VmName, VmLeavingNotice> leaving, PMap<VmName, Instant> refusals) {

	/**
	 * Returns a fleet before any VM is known.
	 * @return an empty fleet
	 */
	public static Fleet empty() {
		return new Fleet(HashTreePMap.empty(), Optional.empty(), HashTreePMap.empty(), HashTreePMap.empty(),
				HashTreePMap.empty());
	}

	/**
	 * Returns the latest observation of a VM.
	 * @param vm the VM
	 * @return the observation, empty if there is none
	 */
	public Optional<VmObservation> observation(VmName vm) {
		return Optional.ofNullable(this.sights.get(vm));
	}

	/**
	 * Returns the latest observation of a VM unless it is too old.
	 * @param vm the VM
	 * @param now the monotonic time of this node
	 * @param maximumAge the maximum age of the observation
	 * @return the observation, empty if there is none or it is older than the maximum age
	 */
	public Optional<VmObservation> freshObservation(VmName vm, Instant now, Duration maximumAge) {
		VmObservation observation = this.sights.get(vm);
		boolean fresh = observation != null && !observation.seenAt().plus(maximumAge).isBefore(now);
		return fresh ? Optional.of(observation) : Optional.empty();
	}

	/**
	 * Tells whether a VM is about to leave.
	 * @param vm the VM
	 * @return whether the VM is about to leave
	 */
	public boolean isLeaving(VmName vm) {
		return this.leaving.containsKey(vm);
	}

	/**
	 * Tells whether a recent observation shows a VM ready to serve in a given generation
	 * of a group.
	 * @param vm the VM
	 * @param identity the group and generation
	 * @param now the monotonic time of this node
	 * @param maximumAge the maximum age of the observation
	 * @return whether the latest observation is recent enough and shows the VM ready in
	 * this generation and not leaving
	 */
	public boolean isObservedReady(VmName vm, GroupIdentity identity, Instant now, Duration maximumAge) {
		return freshObservation(vm, now, maximumAge).map(VmObservation::report)
			.filter((report) -> report.state() == EngineState.READY && !report.leaving())
			.flatMap(VmReport::group)
			.filter(identity::equals)
			.isPresent();
	}

}
