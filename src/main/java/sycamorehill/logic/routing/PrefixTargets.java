package sycamorehill.logic.routing;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.identity.TargetName;

/**
 * Where this node last sent each prompt prefix: those targets most likely have it cached.
 *
 * @param homes by prefix hash
 * @param oldest the same prefixes, the longest unused first
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
	 * How many prefixes of a prompt a target probably has.
	 * @param prefixes the prompt's, shortest first
	 * @param target the target
	 * @param notBefore older sends do not count
	 * @return the longest prefix sent to it, in blocks
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
	 * The targets that the longest remembered prefix was sent to.
	 * @param prefixes the prompt's, shortest first
	 * @return up to two targets
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
	 * The last two targets that a prefix was sent to.
	 *
	 * @param last the last one
	 * @param other the one before, or the same
	 * @param at when
	 */
	record RecentTargets(TargetName last, TargetName other, Instant at) {

		boolean contains(TargetName target) {
			return this.last.equals(target) || this.other.equals(target);
		}

	}

	/**
	 * When a prefix was used last.
	 *
	 * @param at when
	 * @param prefix its hash
	 */
	record LastUse(Instant at, long prefix) implements Comparable<LastUse> {

		@Override
		public int compareTo(LastUse other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.prefix, other.prefix);
		}

	}

}
