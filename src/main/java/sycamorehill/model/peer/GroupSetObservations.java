package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.GroupSetName;

/**
 * The serving groups of one set, in columns: the names of the columns cost their bytes
 * once for the set and not for each group.
 *
 * @param set the set
 * @param ordinals place of each group in the set
 * @param generations generation of each group
 * @param ages age in milliseconds of the oldest sight of a member of each group
 * @param running requests that each head runs
 * @param queued requests that wait in each head
 * @param tokensPerSecond tokens that each head generated in its last second
 * @param freeCacheTokens room in the cache of each head
 */
public record GroupSetObservations(GroupSetName set, List<Integer> ordinals, List<Long> generations, List<Integer> ages,
		List<Integer> running, List<Integer> queued, List<Integer> tokensPerSecond, List<Long> freeCacheTokens) {

	/**
	 * Takes copies of the lists.
	 */
	public GroupSetObservations {
		ordinals = List.copyOf(ordinals);
		generations = List.copyOf(generations);
		ages = List.copyOf(ages);
		running = List.copyOf(running);
		queued = List.copyOf(queued);
		tokensPerSecond = List.copyOf(tokensPerSecond);
		freeCacheTokens = List.copyOf(freeCacheTokens);
	}

}
