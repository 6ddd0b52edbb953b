package sycamorehill.model.group;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.VmName;

/**
 * What a node knows of the VMs of its data centre.
 *
 * @param entries the VM list as last read
 * @param listedAt own monotonic time of the last read, empty before the first
 * @param sights the last good sight of each VM
 * @param leaving VMs that are said to leave, by any sign
 * @param refusals VMs whose address has refused connections since their last sight, with
 * the time of the first refusal
 */
public record Fleet(PMap<VmName, VmEntry> entries, Optional<Instant> listedAt, PMap<VmName, VmObservation> sights,
		PMap<VmName, VmLeavingNotice> leaving, PMap<VmName, Instant> refusals) {

	/**
	 * Nothing known yet.
	 * @return an empty fleet
	 */
	public static Fleet empty() {
		return new Fleet(HashTreePMap.empty(), Optional.empty(), HashTreePMap.empty(), HashTreePMap.empty(),
				HashTreePMap.empty());
	}

	/**
	 * The last good sight of a VM.
	 * @param vm the VM
	 * @return the sight, if there ever was one
	 */
	public Optional<VmObservation> observation(VmName vm) {
		return Optional.ofNullable(this.sights.get(vm));
	}

	/**
	 * The sight of a VM if it is not older than a bound.
	 * @param vm the VM
	 * @param now own monotonic time
	 * @param maximumAge the greatest age
	 * @return the sight, empty if there is none or only an old one
	 */
	public Optional<VmObservation> freshObservation(VmName vm, Instant now, Duration maximumAge) {
		VmObservation observation = this.sights.get(vm);
		boolean fresh = observation != null && !observation.seenAt().plus(maximumAge).isBefore(now);
		return fresh ? Optional.of(observation) : Optional.empty();
	}

	/**
	 * Whether a VM will go, or is not known to be there.
	 * @param vm the VM
	 * @return whether it gets no new work
	 */
	public boolean isLeaving(VmName vm) {
		return this.leaving.containsKey(vm);
	}

	/**
	 * Whether a VM is in a group in exactly one generation and ready to serve in it.
	 * @param vm the VM
	 * @param identity the group and generation
	 * @param now own monotonic time
	 * @param maximumAge the greatest age of the sight
	 * @return whether it was freshly seen so
	 */
	public boolean isObservedReady(VmName vm, GroupIdentity identity, Instant now, Duration maximumAge) {
		return freshObservation(vm, now, maximumAge).map(VmObservation::report)
			.filter((report) -> report.state() == EngineState.READY && !report.leaving())
			.flatMap(VmReport::group)
			.filter(identity::equals)
			.isPresent();
	}

}
