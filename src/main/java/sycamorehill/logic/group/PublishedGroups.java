package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.peer.GroupFacts;
import sycamorehill.model.peer.GroupSetObservations;
import sycamorehill.model.peer.GroupsSent;

/**
 * Holds the serving groups of one data centre as published by its stewards.
 *
 * @param version the version of the allocation that they are based on
 * @param groups the groups
 */
public record PublishedGroups(long version, PMap<GroupName, PublishedGroup> groups) {

	static PublishedGroups none() {
		return new PublishedGroups(0, TreePMap.empty());
	}

	/**
	 * Merges a message. A steward with an outdated allocation may publish a group that
	 * has been removed, and requests would be sent to it. So a message based on an older
	 * allocation is ignored, and one based on a newer allocation replaces everything.
	 * Among messages based on the same allocation the most recent observation of each
	 * group is kept, so that a partitioned steward does not stop a group that another
	 * steward observes.
	 * @param message the message
	 * @param sentAt the node's monotonic time at which the message was sent
	 * @return the updated groups
	 */
	PublishedGroups withMessage(GroupsSent message, Instant sentAt) {
		if (message.allocationVersion() < this.version) {
			return this;
		}
		boolean newer = message.allocationVersion() > this.version;
		PMap<GroupName, PublishedGroup> known = newer ? TreePMap.empty() : this.groups;
		for (GroupSetObservations set : message.sets()) {
			for (int index = 0; index < set.ordinals().size(); index++) {
				PublishedGroup group = fromColumns(set, index, sentAt);
				known = known.plus(group.identity().name(), mostRecent(group));
			}
		}
		for (GroupFacts facts : message.facts()) {
			PublishedGroup group = known.get(facts.identity().name());
			if (group != null && group.identity().equals(facts.identity())) {
				known = known.plus(facts.identity().name(), group.withFacts(facts));
			}
		}
		return new PublishedGroups(message.allocationVersion(), known);
	}

	private static PublishedGroup fromColumns(GroupSetObservations set, int index, Instant sentAt) {
		GroupName name = GroupName.of(set.set(), set.ordinals().get(index));
		PublishedGroup.Load load = new PublishedGroup.Load(set.running().get(index), set.queued().get(index),
				set.tokensPerSecond().get(index), set.freeCacheTokens().get(index));
		return new PublishedGroup(GroupIdentity.of(name, set.generations().get(index)), Optional.empty(),
				sentAt.minusMillis(set.ages().get(index)), load);
	}

	private PublishedGroup mostRecent(PublishedGroup group) {
		PublishedGroup before = this.groups.get(group.identity().name());
		if (before == null || !before.identity().equals(group.identity())) {
			return group;
		}
		if (before.seenAt().isAfter(group.seenAt())) {
			return before;
		}
		return new PublishedGroup(group.identity(), before.facts(), group.seenAt(), group.load());
	}

}
