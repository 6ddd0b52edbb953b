package sycamorehill.logic.dispatch;

/**
 * This node's share of the retries that all nodes together may send to a service beyond
 * the ratio of its requests.
 *
 * @param retries number of retries in a window
 * @param nodes number of nodes among which the retries are divided
 * @param unconfirmedNodes number of nodes that have not confirmed that they count this
 * one; it has no share until they have
 */
public record RetryShare(int retries, int nodes, int unconfirmedNodes) {

	/** The share of a node that may send no retry beyond the ratio. */
	public static final RetryShare NONE = new RetryShare(0, 0, 0);

}
