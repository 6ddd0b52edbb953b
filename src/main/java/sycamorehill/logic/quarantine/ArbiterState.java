package sycamorehill.logic.quarantine;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.peer.SuspectEntry;
import sycamorehill.model.request.Fingerprint;

/**
 * State of a node as the arbiter of services.
 *
 * @param slots the isolation slots by target
 * @param suspects the suspects to publish at the next tick
 * @param cleared the cleared content to publish at the next tick
 */
record ArbiterState(PMap<TargetName, IsolationSlot> slots, PVector<SuspectEntry> suspects,
		PVector<Fingerprint> cleared) {

	static ArbiterState initial() {
		return new ArbiterState(HashTreePMap.empty(), TreePVector.empty(), TreePVector.empty());
	}

	ArbiterState withSlot(IsolationSlot slot) {
		return new ArbiterState(this.slots.plus(slot.target(), slot), this.suspects, this.cleared);
	}

	ArbiterState withoutSlot(TargetName target) {
		return new ArbiterState(this.slots.minus(target), this.suspects, this.cleared);
	}

	ArbiterState withSuspect(SuspectEntry entry) {
		return new ArbiterState(this.slots, this.suspects.plus(entry), this.cleared);
	}

	ArbiterState withCleared(Fingerprint fingerprint) {
		return new ArbiterState(this.slots, this.suspects, this.cleared.plus(fingerprint));
	}

	ArbiterState withoutUnpublished() {
		return new ArbiterState(this.slots, TreePVector.empty(), TreePVector.empty());
	}

}
