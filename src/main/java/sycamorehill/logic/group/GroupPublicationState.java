package sycamorehill.logic.group;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.observation.SenderClocks;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;

/**
 * Holds the state of publishing serving groups to other nodes.
 *
 * @param groups the published groups of each data centre
 * @param nextAt the time at which this node publishes next
 * @param round the number of the next message that has this node as the root
 * @param spreads the number of messages sent about this node's own data centre
 * @param lastSent the hash of the groups in this node's last message
 * @param factsLeft the number of following messages that carry the facts of the groups
 * @param clocks the clock offsets of other nodes
 * @param passedOn the last forwarded round of each root
 */
public record GroupPublicationState(PMap<DataCentreName, PublishedGroups> groups, Instant nextAt, long round,
		long spreads, int lastSent, int factsLeft, SenderClocks clocks, PMap<NodeIncarnation, Long> passedOn) {

	static GroupPublicationState initial() {
		return new GroupPublicationState(HashTreePMap.empty(), Instant.MIN, 0, 0, 0, 0, SenderClocks.empty(),
				HashTreePMap.empty());
	}

	GroupPublicationState withGroups(DataCentreName dataCentre, PublishedGroups changed) {
		return new GroupPublicationState(this.groups.plus(dataCentre, changed), this.nextAt, this.round, this.spreads,
				this.lastSent, this.factsLeft, this.clocks, this.passedOn);
	}

	GroupPublicationState withSent(Instant next, int hash, int facts) {
		return new GroupPublicationState(this.groups, next, this.round + 1, this.spreads + 1, hash, facts, this.clocks,
				this.passedOn);
	}

	GroupPublicationState withNextRound() {
		return new GroupPublicationState(this.groups, this.nextAt, this.round + 1, this.spreads, this.lastSent,
				this.factsLeft, this.clocks, this.passedOn);
	}

	GroupPublicationState withClocks(SenderClocks changed) {
		return new GroupPublicationState(this.groups, this.nextAt, this.round, this.spreads, this.lastSent,
				this.factsLeft, changed, this.passedOn);
	}

	GroupPublicationState withForwarded(NodeIncarnation root, long changed) {
		return new GroupPublicationState(this.groups, this.nextAt, this.round, this.spreads, this.lastSent,
				this.factsLeft, this.clocks, this.passedOn.plus(root, changed));
	}

}
