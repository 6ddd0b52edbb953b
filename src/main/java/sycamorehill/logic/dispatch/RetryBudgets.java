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
 * Holds this node's part of the retry budget of each service. All nodes together must
 * stay within a bound. They do not coordinate each retry, but each has a share of the
 * fixed allowance.
 */
final class RetryBudgets {

	/** Minimum time between two log lines about the share: it may change often. */
	private static final Duration MINIMUM_LOG_INTERVAL = Duration.ofSeconds(1);

	private final Map<ServiceName, SlidingWindowRetryBudget> budgets = new HashMap<>();

	private EntrySettings settings;

	private RetryShare share = RetryShare.NONE;

	private RetryShare loggedShare = RetryShare.NONE;

	private Instant loggedAt = Instant.MIN;

	private RetryBudgets(EntrySettings settings) {
		this.settings = settings;
	}

	/**
	 * Creates budgets without a share of the allowance.
	 * @param settings the node's settings
	 * @return the budgets
	 */
	static RetryBudgets of(EntrySettings settings) {
		return new RetryBudgets(settings);
	}

	SlidingWindowRetryBudget of(ServiceName service) {
		return this.budgets.computeIfAbsent(service, (name) -> SlidingWindowRetryBudget.of(this.settings.retryWindow(),
				this.settings.retryRatio(), this.share.retries()));
	}

	void updateShare(RetryShare newShare) {
		if (!newShare.equals(this.share)) {
			this.share = newShare;
			applyBounds();
		}
	}

	void updateSettings(EntrySettings newSettings) {
		this.settings = newSettings;
		applyBounds();
	}

	private void applyBounds() {
		this.budgets.values().forEach((budget) -> budget.setBounds(this.settings.retryRatio(), this.share.retries()));
	}

	RetryShare share() {
		return this.share;
	}

	/**
	 * Logs this node's share if it has changed.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void logShare(Instant now, Effects effects) {
		if (!this.share.equals(this.loggedShare)
				&& (this.loggedAt == Instant.MIN || !now.isBefore(this.loggedAt.plus(MINIMUM_LOG_INTERVAL)))) {
			this.loggedShare = this.share;
			this.loggedAt = now;
			effects.log(LogEvent.RETRY_SHARE_CHANGED, "share=" + this.share.retries() + " nodes=" + this.share.nodes()
					+ " unconfirmed=" + this.share.unconfirmedNodes());
		}
	}

}
