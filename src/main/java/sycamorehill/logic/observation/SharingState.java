package sycamorehill.logic.observation;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;

/**
 * What passes between observers and stewards.
 *
 * @param own the last sights of this node's own asking
 * @param nextAt when the next message is sent
 * @param lastHash hash of the last message
 * @param wholesLeft how many of the next messages carry all reports
 * @param round counts the messages
 * @param clocks how far other nodes' clocks are away
 * @param observers which VMs each other observer last said that it sees
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
