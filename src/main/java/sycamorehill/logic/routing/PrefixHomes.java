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
record PrefixHomes(PMap<Long, Home> homes, PSortedSet<Age> oldest) {

	static PrefixHomes none() {
		return new PrefixHomes(HashTreePMap.empty(), TreePSet.empty());
	}

	PrefixHomes sent(List<Long> prefixes, TargetName target, Instant now, int most) {
		PrefixHomes changed = this;
		for (Long prefix : prefixes) {
			changed = changed.plus(prefix, target, now);
		}
		while (changed.homes.size() > most) {
			Age first = changed.oldest.first();
			changed = new PrefixHomes(changed.homes.minus(first.prefix()), changed.oldest.minus(first));
		}
		return changed;
	}

	private PrefixHomes plus(Long prefix, TargetName target, Instant now) {
		Home before = this.homes.get(prefix);
		PSortedSet<Age> ages = (before != null) ? this.oldest.minus(new Age(before.at(), prefix)) : this.oldest;
		TargetName second = (before == null || before.last().equals(target))
				? ((before != null) ? before.other() : target) : before.last();
		return new PrefixHomes(this.homes.plus(prefix, new Home(target, second, now)), ages.plus(new Age(now, prefix)));
	}

	/**
	 * How many prefixes of a prompt a target probably has.
	 * @param prefixes the prompt's, shortest first
	 * @param target the target
	 * @param notBefore older sends do not count
	 * @return the longest prefix sent to it, in blocks
	 */
	int cached(List<Long> prefixes, TargetName target, Instant notBefore) {
		for (int blocks = prefixes.size(); blocks > 0; blocks--) {
			Home home = this.homes.get(prefixes.get(blocks - 1));
			if (home != null && home.at().isAfter(notBefore) && home.names(target)) {
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
	List<TargetName> of(List<Long> prefixes) {
		for (int blocks = prefixes.size(); blocks > 0; blocks--) {
			Home home = this.homes.get(prefixes.get(blocks - 1));
			if (home != null) {
				return List.of(home.last(), home.other());
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
	record Home(TargetName last, TargetName other, Instant at) {

		boolean names(TargetName target) {
			return this.last.equals(target) || this.other.equals(target);
		}

	}

	/**
	 * When a prefix was used last.
	 *
	 * @param at when
	 * @param prefix its hash
	 */
	record Age(Instant at, long prefix) implements Comparable<Age> {

		@Override
		public int compareTo(Age other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.prefix, other.prefix);
		}

	}

}
