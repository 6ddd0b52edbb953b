package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.identity.TargetName;

/**
 * Remembers to which targets this node last sent each prompt prefix. Those targets most
 * likely have the prefix in their cache.
 *
 * @param homes the targets by prefix hash
 * @param oldest the same prefixes, least recently used first
 */
record PrefixTargets(PMap<Long, RecentTargets> homes, PSortedSet<LastUse> oldest) {

	static PrefixTargets none() {
		return new PrefixTargets(HashTreePMap.empty(), TreePSet.empty());
	}

	PrefixTargets withSent(List<Long> prefixes, TargetName target, Instant now, int maximum) {
		PrefixTargets changed = this;
		for (Long prefix : prefixes) {
			changed = changed.plus(prefix, target, now);
		}
		while (changed.homes.size() > maximum) {
			LastUse leastRecent = changed.oldest.first();
			changed = new PrefixTargets(changed.homes.minus(leastRecent.prefix()), changed.oldest.minus(leastRecent));
		}
		return changed;
	}

	private PrefixTargets plus(Long prefix, TargetName target, Instant now) {
		RecentTargets before = this.homes.get(prefix);
		PSortedSet<LastUse> lastUses = (before != null) ? this.oldest.minus(new LastUse(before.at(), prefix))
				: this.oldest;
		TargetName previous = (before == null || before.last().equals(target))
				? ((before != null) ? before.other() : target) : before.last();
		return new PrefixTargets(this.homes.plus(prefix, new RecentTargets(target, previous, now)),
				lastUses.plus(new LastUse(now, prefix)));
	}

	/**
	 * Estimates how much of a prompt a target has in its cache.
	 * @param prefixes the hashes of the prompt's prefixes, shortest first
	 * @param target the target
	 * @param notBefore prefixes last sent at or before this instant do not count
	 * @return the length in blocks of the longest prefix that was sent to the target
	 */
	int cachedBlocks(List<Long> prefixes, TargetName target, Instant notBefore) {
		for (int blocks = prefixes.size(); blocks > 0; blocks--) {
			RecentTargets recent = this.homes.get(prefixes.get(blocks - 1));
			if (recent != null && recent.at().isAfter(notBefore) && recent.contains(target)) {
				return blocks;
			}
		}
		return 0;
	}

	/**
	 * Returns the targets that last received the longest remembered prefix of a prompt.
	 * @param prefixes the hashes of the prompt's prefixes, shortest first
	 * @return the last target and the one before it, empty if no prefix is remembered
	 */
	List<TargetName> targetsOf(List<Long> prefixes) {
		for (int blocks = prefixes.size(); blocks > 0; blocks--) {
			RecentTargets recent = this.homes.get(prefixes.get(blocks - 1));
			if (recent != null) {
				return List.of(recent.last(), recent.other());
			}
		}
		return List.of();
	}

	/**
	 * The last two targets that received a prefix.
	 *
	 * @param last the most recent target
	 * @param other the target before it, or the same one if there was no other
	 * @param at when the prefix was last sent
	 */
	record RecentTargets(TargetName last, TargetName other, Instant at) {

		boolean contains(TargetName target) {
			return this.last.equals(target) || this.other.equals(target);
		}

	}

	/**
	 * The time when a prefix was last sent, for eviction in this order.
	 *
	 * @param at when the prefix was last sent
	 * @param prefix the hash of the prefix
	 */
	record LastUse(Instant at, long prefix) implements Comparable<LastUse> {

		@Override
		public int compareTo(LastUse other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.prefix, other.prefix);
		}

	}

}
