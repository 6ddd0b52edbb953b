package sycamorehill.logic.dispatch;

/**
 * This node's share of the retries that all nodes together may send to a service beyond
 * the ratio of its requests.
 *
 * @param allowance number of retries in a window
 * @param nodes number of nodes among which the retries are divided
 */
public record RetryShare(double allowance, int nodes) {

}
