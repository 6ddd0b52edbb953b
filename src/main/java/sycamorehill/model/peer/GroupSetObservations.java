package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.GroupSetName;

/**
 * The serving groups of one set, as columns with one element for each group. The field
 * names are then sent once for the set instead of once for each group.
 *
 * @param set the group set
 * @param ordinals the index of each group in the set
 * @param generations the generation of each group
 * @param ages the age of the oldest observation of a member of each group, in
 * milliseconds
 * @param running the number of requests that each head runs
 * @param queued the number of requests in the queue of each head
 * @param tokensPerSecond the number of tokens that each head generated in its last second
 * @param freeCacheTokens the free space in the cache of each head, in tokens
 */
public record GroupSetObservations(GroupSetName set, List<Integer> ordinals, List<Long> generations, List<Integer> ages,
		List<Integer> running, List<Integer> queued, List<Integer> tokensPerSecond, List<Long> freeCacheTokens) {

	/**
	 * Copies the lists.
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
