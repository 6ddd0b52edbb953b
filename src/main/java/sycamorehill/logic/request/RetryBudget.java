package sycamorehill.logic.request;

import sycamorehill.model.policy.RetryBudgetPolicy;

/**
 * Retry budget of a service. Each first attempt adds a fraction of one retry to it.
 * <p>
 * Without a budget, requests to slow targets time out and are all retried, which
 * multiplies the load that slowed the targets down. With it, the load after an initial
 * burst is at most the offered load plus the configured ratio of it.
 *
 * @param left the number of retries left, including a fraction
 */
record RetryBudget(double left) {

	static RetryBudget full(RetryBudgetPolicy policy) {
		return new RetryBudget(policy.burst());
	}

	RetryBudget afterFirstAttempt(RetryBudgetPolicy policy) {
		return new RetryBudget(Math.min(policy.burst(), this.left + policy.ratio()));
	}

	boolean allowsRetry() {
		return this.left >= 1;
	}

	RetryBudget afterRetry() {
		return new RetryBudget(this.left - 1);
	}

}
