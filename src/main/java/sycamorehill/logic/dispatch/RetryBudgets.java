package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.log.LogEvent;
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

	/** Minimum time between two log lines about the share: it may change often. */
	private static final Duration MINIMUM_LOG_INTERVAL = Duration.ofSeconds(1);

	private final Map<ServiceName, SlidingWindowRetryBudget> budgets = new HashMap<>();

	private EntrySettings entrySettings;

	private int nodeCount;

	private RetryShare loggedShare = new RetryShare(0, 0);

	private Instant loggedAt = Instant.MIN;

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

	RetryShare share() {
		return new RetryShare(allowance(), this.nodeCount);
	}

	/**
	 * Logs this node's share if it has changed.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void logShare(Instant now, Effects effects) {
		if (!share().equals(this.loggedShare)
				&& (this.loggedAt == Instant.MIN || !now.isBefore(this.loggedAt.plus(MINIMUM_LOG_INTERVAL)))) {
			this.loggedShare = share();
			this.loggedAt = now;
			effects.log(LogEvent.RETRY_SHARE_CHANGED, "share=" + allowance() + " nodes=" + this.nodeCount);
		}
	}

	private double allowance() {
		return this.entrySettings.retryAllowance() * USED_ALLOWANCE_SHARE / this.nodeCount;
	}

}
