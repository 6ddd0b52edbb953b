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
 * Takes lists, reports and failures into what is known of the VMs.
 */
final class FleetUpdates {

	private FleetUpdates() {
	}

	/**
	 * Takes in a read of the VM list. An entry of another data centre is passed over: two
	 * data centres would otherwise both claim the VM.
	 * @param fleet what was known
	 * @param list the entries
	 * @param dataCentre the own data centre
	 * @param now own monotonic time
	 * @param leavingMemory how long a VM counts as leaving after the last sign of it
	 * @return what is known now
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

	// Failure: a lagging list shows a VM live again that has already said that it leaves,
	// and work goes to a VM about to vanish. It shows as streams cut off at its stop. The
	// mark outlives the list until the VM was replaced, or every sign has said for
	// longer than any lag that it stays.
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
		boolean stays = notice.lastSign().plus(leavingMemory).isBefore(now);
		return (replaced || stays) ? leaving.minus(entry.name()) : leaving;
	}

	/**
	 * Takes in a report, own or passed on by a peer.
	 * @param fleet what was known
	 * @param observation the observation
	 * @return what is known now
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

	// Failure: an answer that was delayed on its way arrives after a later one and shows
	// a member in a generation that it has left. The engine's own sequence orders the
	// reports of one life; between lives the time of asking does.
	static boolean supersedes(VmObservation observation, VmObservation previous) {
		if (observation.report().instance().equals(previous.report().instance())) {
			return observation.report().sequence() > previous.report().sequence()
					|| (observation.report().sequence() == previous.report().sequence()
							&& observation.seenAt().isAfter(previous.seenAt()));
		}
		return observation.seenAt().isAfter(previous.seenAt());
	}

	/**
	 * Takes in that a VM was seen again as it was.
	 * @param fleet what was known
	 * @param vm the VM
	 * @param seenAt own monotonic time of the observation
	 * @return what is known now
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
	 * Takes in that a VM will go.
	 * @param fleet what was known
	 * @param vm the VM
	 * @param sign own monotonic time of the sign
	 * @return what is known now
	 */
	static Fleet recordLeavingNotice(Fleet fleet, VmName vm, Instant sign) {
		VmLeavingNotice previous = fleet.leaving().get(vm);
		VmEntry entry = fleet.entries().get(vm);
		String instance = (entry != null) ? entry.instance() : "";
		if (previous != null && previous.lastSign().isAfter(sign)) {
			return fleet;
		}
		return new Fleet(fleet.entries(), fleet.listedAt(), fleet.sights(),
				fleet.leaving().plus(vm, new VmLeavingNotice(instance, sign)), fleet.refusals());
	}

	/**
	 * Takes in that an engine's address refused the connection.
	 * @param fleet what was known
	 * @param vm the VM
	 * @param now own monotonic time
	 * @return what is known now
	 */
	static Fleet recordRefusal(Fleet fleet, VmName vm, Instant now) {
		if (fleet.refusals().containsKey(vm)) {
			return fleet;
		}
		return new Fleet(fleet.entries(), fleet.listedAt(), fleet.sights(), fleet.leaving(),
				fleet.refusals().plus(vm, now));
	}

}
