package sycamorehill.logic.observation;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;

/**
 * The state of the exchange of observations between observers and stewards.
 *
 * @param own the latest observations by this node itself
 * @param nextAt when the next message is due
 * @param lastHash the hash in the last message
 * @param wholesLeft how many of the next messages contain all reports
 * @param round the number of messages sent
 * @param clocks the clock offsets of the other nodes
 * @param observers the VMs in the last full message of each other observer
 */
public record SharingState(PMap<VmName, VmObservation> own, Instant nextAt, long lastHash, int wholesLeft, long round,
		SenderClocks clocks, PMap<NodeName, PSet<VmName>> observers) {

	static SharingState initial() {
		return new SharingState(HashTreePMap.empty(), Instant.MIN, 0, 0, 0, SenderClocks.empty(), HashTreePMap.empty());
	}

	SharingState withOwn(PMap<VmName, VmObservation> changed) {
		return new SharingState(changed, this.nextAt, this.lastHash, this.wholesLeft, this.round, this.clocks,
				this.observers);
	}

	SharingState withMessageSent(Instant next, long hash, int fullMessages) {
		return new SharingState(this.own, next, hash, fullMessages, this.round + 1, this.clocks, this.observers);
	}

	SharingState withClocks(SenderClocks changed) {
		return new SharingState(this.own, this.nextAt, this.lastHash, this.wholesLeft, this.round, changed,
				this.observers);
	}

	SharingState withObserver(NodeName node, PSet<VmName> vms) {
		return new SharingState(this.own, this.nextAt, this.lastHash, this.wholesLeft, this.round, this.clocks,
				this.observers.plus(node, vms));
	}

}
