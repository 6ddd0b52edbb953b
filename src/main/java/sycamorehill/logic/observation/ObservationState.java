package sycamorehill.logic.observation;

import java.time.Instant;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.group.Fleet;
import sycamorehill.model.identity.VmName;

/**
 * The state of the observation of target VMs.
 *
 * @param fleet the known state of the VMs
 * @param observed the VMs whose engines this node polls
 * @param turns the scheduled polls, the earliest first
 * @param scheduled the VMs that have a scheduled poll
 * @param nextListAt when the VM list is read next
 * @param nextDutyAt when the set of observed VMs is updated next
 * @param sharing the state of the exchange between observers and stewards
 */
public record ObservationState(Fleet fleet, PSet<VmName> observed, PSortedSet<ScheduledPoll> turns,
		PSet<VmName> scheduled, Instant nextListAt, Instant nextDutyAt, SharingState sharing) {

	/**
	 * Returns the state of a node that has just started.
	 * @return the state before the first event
	 */
	public static ObservationState initial() {
		return new ObservationState(Fleet.empty(), HashTreePSet.empty(), TreePSet.empty(), HashTreePSet.empty(),
				Instant.MIN, Instant.MIN, SharingState.initial());
	}

	ObservationState withFleet(Fleet changed) {
		return new ObservationState(changed, this.observed, this.turns, this.scheduled, this.nextListAt,
				this.nextDutyAt, this.sharing);
	}

	ObservationState withObserved(PSet<VmName> changed, Instant next) {
		return new ObservationState(this.fleet, changed, this.turns, this.scheduled, this.nextListAt, next,
				this.sharing);
	}

	ObservationState withTurns(PSortedSet<ScheduledPoll> changed, PSet<VmName> changedScheduled) {
		return new ObservationState(this.fleet, this.observed, changed, changedScheduled, this.nextListAt,
				this.nextDutyAt, this.sharing);
	}

	ObservationState withNextListAt(Instant changed) {
		return new ObservationState(this.fleet, this.observed, this.turns, this.scheduled, changed, this.nextDutyAt,
				this.sharing);
	}

	ObservationState withSharing(SharingState changed) {
		return new ObservationState(this.fleet, this.observed, this.turns, this.scheduled, this.nextListAt,
				this.nextDutyAt, changed);
	}

}
