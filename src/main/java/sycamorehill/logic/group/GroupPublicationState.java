package sycamorehill.logic.group;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.observation.SenderClocks;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIncarnation;

/**
 * The spreading of serving groups between nodes.
 *
 * @param groups what is known of each data centre
 * @param nextAt when this node spreads its own view next
 * @param round counts the messages of which this node is the root
 * @param spreads counts the messages about the own data centre
 * @param lastSent hash over the groups of the last own message
 * @param factsLeft how many of the next own messages carry the facts
 * @param clocks how far other nodes' clocks are away
 * @param passedOn the last round of each root that was passed on
 */
public record GroupPublicationState(PMap<DataCentreName, PublishedGroups> groups, Instant nextAt, long round,
		long spreads, int lastSent, int factsLeft, SenderClocks clocks, PMap<NodeIncarnation, Long> passedOn) {

	static GroupPublicationState initial() {
		return new GroupPublicationState(HashTreePMap.empty(), Instant.MIN, 0, 0, 0, 0, SenderClocks.none(),
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
