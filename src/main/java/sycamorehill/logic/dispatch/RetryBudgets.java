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
	private static final double EXTRA_PART = 0.7;

	/**
	 * Nodes that are counted at least in each data centre: a node that has just started
	 * knows no other yet, and all may start at once.
	 */
	private static final int FEWEST_IN_DATA_CENTRE = 2;

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	private EntrySettings settings;

	private int nodes;

	private RetryBudgets(EntrySettings settings) {
		this.settings = settings;
		nodes(1);
	}

	static RetryBudgets of(EntrySettings settings) {
		return new RetryBudgets(settings);
	}

	RetryBudget of(ServiceName service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> RetryBudget.of(this.settings.retryWindow(), this.settings.retryRatio(), extra()));
	}

	/**
	 * Shares the fixed number out anew.
	 * @param living number of nodes that live
	 */
	void nodes(int living) {
		this.nodes = Math.max(living, FEWEST_IN_DATA_CENTRE * this.settings.dataCentres().size());
		apply();
	}

	void settings(EntrySettings read) {
		this.settings = read;
		apply();
	}

	private void apply() {
		this.budgets.values().forEach((budget) -> budget.bounds(this.settings.retryRatio(), extra()));
	}

	private double extra() {
		return this.settings.retryExtra() * EXTRA_PART / this.nodes;
	}

}
