package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.peer.GroupFacts;
import sycamorehill.model.peer.GroupSetSights;
import sycamorehill.model.peer.GroupsSent;

/**
 * The serving groups of one data centre as its stewards spread them.
 *
 * @param version version of the allocation behind them
 * @param groups the groups
 */
public record PublishedGroups(long version, PMap<GroupName, PublishedGroup> groups) {

	static PublishedGroups none() {
		return new PublishedGroups(0, TreePMap.empty());
	}

	/**
	 * Takes a message in. Failure: a steward that lags behind tells of a group that has
	 * been given up since, and work goes there again. A message that rests on an older
	 * allocation is passed over, and one on a newer allocation replaces everything.
	 * Between two messages on the same one the fresher sight of each group counts: a
	 * steward with a cut link does not stop a group that the other one sees.
	 * @param message the message
	 * @param sentAt own monotonic time of its sending
	 * @return what is known now
	 */
	PublishedGroups withMessage(GroupsSent message, Instant sentAt) {
		if (message.allocationVersion() < this.version) {
			return this;
		}
		boolean newer = message.allocationVersion() > this.version;
		PMap<GroupName, PublishedGroup> known = newer ? TreePMap.empty() : this.groups;
		for (GroupSetSights set : message.sets()) {
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

	private static PublishedGroup fromColumns(GroupSetSights set, int index, Instant sentAt) {
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
