package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.EntrySettings;

/**
 * This node's part of the retry budget of each service. All nodes together must stay
 * below a bound; they don't ask each other for each repeat, but share the fixed number
 * out by how many nodes live.
 */
final class RetryBudgets {

	/**
	 * Part of the fixed number that is used: nodes count each other late, and arrivals
	 * that were cancelled on the way count too.
	 */
	private static final double USED_ALLOWANCE_SHARE = 0.7;

	/**
	 * Nodes that are counted at least in each data centre: a node that has just started
	 * knows no other yet, and all may start at once.
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
	 * Shares the fixed number out anew.
	 * @param liveNodes number of nodes that live
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
		return this.entrySettings.retryExtra() * USED_ALLOWANCE_SHARE / this.nodeCount;
	}

}
