package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmLeavingNotice;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.VmName;

/**
 * Applies VM lists, reports and failures to the known state of the VMs.
 */
final class FleetUpdates {

	private FleetUpdates() {
	}

	/**
	 * Applies a VM list. Entries of another data centre are ignored, because otherwise
	 * both data centres could claim the VM.
	 * @param fleet the current fleet
	 * @param list the entries of the list
	 * @param dataCentre the data centre of this node
	 * @param now the monotonic time of this node
	 * @param leavingMemory how long a VM is considered leaving after the last notice
	 * @return the updated fleet
	 */
	static Fleet applyList(Fleet fleet, List<VmEntry> list, DataCentreName dataCentre, Instant now,
			Duration leavingMemory) {
		PMap<VmName, VmEntry> entries = HashTreePMap.empty();
		PMap<VmName, VmLeavingNotice> leaving = fleet.leaving();
		PMap<VmName, VmObservation> observations = fleet.sights();
		for (VmEntry entry : list) {
			if (!entry.dataCentre().equals(dataCentre)) {
				continue;
			}
			VmEntry previous = fleet.entries().get(entry.name());
			entries = entries.plus(entry.name(), entry);
			if (previous != null && !previous.instance().equals(entry.instance())) {
				observations = observations.minus(entry.name());
			}
			leaving = updateLeavingNotice(leaving, entry, now, leavingMemory);
		}
		return new Fleet(entries, Optional.of(now), observations, leaving, fleet.refusals());
	}

	// A lagging list can show a VM as live that has already reported that it is leaving.
	// Requests routed to it would be interrupted when it stops. The notice is therefore
	// kept until the VM is replaced or no notice has come for longer than any lag of the
	// list.
	private static PMap<VmName, VmLeavingNotice> updateLeavingNotice(PMap<VmName, VmLeavingNotice> leaving,
			VmEntry entry, Instant now, Duration leavingMemory) {
		if (entry.status() == VmStatus.LEAVING) {
			return leaving.plus(entry.name(), new VmLeavingNotice(entry.instance(), now));
		}
		VmLeavingNotice notice = leaving.get(entry.name());
		if (notice == null) {
			return leaving;
		}
		boolean replaced = !notice.instance().isEmpty() && !notice.instance().equals(entry.instance());
		boolean expired = notice.lastSign().plus(leavingMemory).isBefore(now);
		return (replaced || expired) ? leaving.minus(entry.name()) : leaving;
	}

	/**
	 * Applies an observation of this node or of a peer.
	 * @param fleet the current fleet
	 * @param observation the observation
	 * @return the updated fleet
	 */
	static Fleet applyReport(Fleet fleet, VmObservation observation) {
		VmReport report = observation.report();
		VmName vm = report.vm();
		Fleet updated = report.leaving() ? recordLeavingNotice(fleet, vm, observation.seenAt()) : fleet;
		VmObservation previous = fleet.sights().get(vm);
		if (previous != null && !supersedes(observation, previous)) {
			return updated;
		}
		PMap<VmName, Instant> refusals = updated.refusals();
		return new Fleet(updated.entries(), updated.listedAt(), updated.sights().plus(vm, observation),
				updated.leaving(), refusals.containsKey(vm) ? refusals.minus(vm) : refusals);
	}

	// A delayed answer can arrive after a later one and show a member in a generation
	// that it has left. Reports of the same instance are ordered by the sequence number
	// of the engine, reports of different instances by the time of the request.
	static boolean supersedes(VmObservation observation, VmObservation previous) {
		if (observation.report().instance().equals(previous.report().instance())) {
			return observation.report().sequence() > previous.report().sequence()
					|| (observation.report().sequence() == previous.report().sequence()
							&& observation.seenAt().isAfter(previous.seenAt()));
		}
		return observation.seenAt().isAfter(previous.seenAt());
	}

	/**
	 * Records that a VM was observed again in an unchanged state.
	 * @param fleet the current fleet
	 * @param vm the VM
	 * @param seenAt the monotonic time of this node for the observation
	 * @return the updated fleet
	 */
	static Fleet refreshObservation(Fleet fleet, VmName vm, Instant seenAt) {
		VmObservation previous = fleet.sights().get(vm);
		if (previous == null || !seenAt.isAfter(previous.seenAt())) {
			return fleet;
		}
		return new Fleet(fleet.entries(), fleet.listedAt(),
				fleet.sights().plus(vm, new VmObservation(previous.report(), seenAt)), fleet.leaving(),
				fleet.refusals());
	}

	/**
	 * Records a notice that a VM is about to leave.
	 * @param fleet the current fleet
	 * @param vm the VM
	 * @param noticedAt the monotonic time of this node for the notice
	 * @return the updated fleet
	 */
	static Fleet recordLeavingNotice(Fleet fleet, VmName vm, Instant noticedAt) {
		VmLeavingNotice previous = fleet.leaving().get(vm);
		VmEntry entry = fleet.entries().get(vm);
		String instance = (entry != null) ? entry.instance() : "";
		if (previous != null && previous.lastSign().isAfter(noticedAt)) {
			return fleet;
		}
		return new Fleet(fleet.entries(), fleet.listedAt(), fleet.sights(),
				fleet.leaving().plus(vm, new VmLeavingNotice(instance, noticedAt)), fleet.refusals());
	}

	/**
	 * Records that the address of an engine refused a connection.
	 * @param fleet the current fleet
	 * @param vm the VM
	 * @param now the monotonic time of this node
	 * @return the updated fleet
	 */
	static Fleet recordRefusal(Fleet fleet, VmName vm, Instant now) {
		if (fleet.refusals().containsKey(vm)) {
			return fleet;
		}
		return new Fleet(fleet.entries(), fleet.listedAt(), fleet.sights(), fleet.leaving(),
				fleet.refusals().plus(vm, now));
	}

}
