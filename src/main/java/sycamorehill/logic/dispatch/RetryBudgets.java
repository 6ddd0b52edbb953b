package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.EntrySettings;

/**
 * Holds this node's share of the retry budget of each service. All nodes together must
 * stay within a bound. They do not coordinate each retry, but divide the fixed allowance
 * by the number of live nodes.
 */
final class RetryBudgets {

	/**
	 * Share of the allowance that is used: nodes learn of each other with a delay, and
	 * arrivals that were cancelled on the way count too.
	 */
	private static final double USED_ALLOWANCE_SHARE = 0.7;

	/**
	 * Minimum number of nodes that is assumed in each data centre: a node that has just
	 * started knows no other node yet, and all may start at once.
	 */
	private static final int MINIMUM_NODES_PER_DATA_CENTRE = 2;

	private final Map<ServiceName, SlidingWindowRetryBudget> budgets = new HashMap<>();

	private EntrySettings entrySettings;

	private int nodeCount;

	private RetryBudgets(EntrySettings entrySettings) {
		this.entrySettings = entrySettings;
		setNodeCount(1);
	}

	static RetryBudgets of(EntrySettings entrySettings) {
		return new RetryBudgets(entrySettings);
	}

	SlidingWindowRetryBudget of(ServiceName service) {
		return this.budgets.computeIfAbsent(service, (name) -> SlidingWindowRetryBudget
			.of(this.entrySettings.retryWindow(), this.entrySettings.retryRatio(), allowance()));
	}

	/**
	 * Divides the allowance among the live nodes.
	 * @param liveNodes number of live nodes
	 */
	void setNodeCount(int liveNodes) {
		this.nodeCount = Math.max(liveNodes, MINIMUM_NODES_PER_DATA_CENTRE * this.entrySettings.dataCentres().size());
		applyBounds();
	}

	void updateSettings(EntrySettings newSettings) {
		this.entrySettings = newSettings;
		applyBounds();
	}

	private void applyBounds() {
		this.budgets.values().forEach((budget) -> budget.setBounds(this.entrySettings.retryRatio(), allowance()));
	}

	private double allowance() {
		return this.entrySettings.retryAllowance() * USED_ALLOWANCE_SHARE / this.nodeCount;
	}

}
