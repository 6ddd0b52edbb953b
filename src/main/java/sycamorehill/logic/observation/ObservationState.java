package sycamorehill.logic.observation;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.group.Fleet;

/**
 * State of the part: which target VMs were seen, and in which state.
 *
 * @param fleet what is known of the VMs
 * @param turns when each engine is asked next, the earliest first
 * @param nextListAt when the VM list is read next, empty before the first tick
 */
public record ObservationState(Fleet fleet, PSortedSet<AskTurn> turns, Optional<Instant> nextListAt) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static ObservationState initial() {
		return new ObservationState(Fleet.empty(), TreePSet.empty(), Optional.empty());
	}

	ObservationState withFleet(Fleet changed) {
		return new ObservationState(changed, this.turns, this.nextListAt);
	}

	ObservationState withTurns(PSortedSet<AskTurn> changed) {
		return new ObservationState(this.fleet, changed, this.nextListAt);
	}

	ObservationState withNextListAt(Instant changed) {
		return new ObservationState(this.fleet, this.turns, Optional.of(changed));
	}

}
