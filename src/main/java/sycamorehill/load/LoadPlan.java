package sycamorehill.load;

import java.time.Duration;
import java.util.List;

import sycamorehill.model.identity.Address;

/**
 * What load is put on.
 *
 * @param nodes callers' addresses of the nodes
 * @param keys keys of the workspaces
 * @param chatService the model service
 * @param orderService the plain service that takes orders
 * @param chatsPerSecond completions started a second
 * @param ordersPerSecond orders started a second
 * @param tokens tokens of each completion, at the most
 * @param timeout by when an answer is to begin
 * @param duration how long calls are started
 * @param seed of arrivals, prompts and choices
 */
public record LoadPlan(List<Address> nodes, List<String> keys, String chatService, String orderService,
		double chatsPerSecond, double ordersPerSecond, int tokens, Duration timeout, Duration duration, long seed) {

	/**
	 * Takes copies of the lists.
	 */
	public LoadPlan {
		nodes = List.copyOf(nodes);
		keys = List.copyOf(keys);
	}

}
