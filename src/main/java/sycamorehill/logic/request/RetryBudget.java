package sycamorehill.logic.request;

import sycamorehill.model.policy.RetryBudgetPolicy;

/**
 * What is left of a service's further attempts. First attempts earn a fraction of one
 * each.
 * <p>
 * Without it, targets that slow down make requests time out, each of them is sent again,
 * and the targets get several times the load that slowed them down. With it, what is sent
 * is at most the offered load and the ratio on top, after one burst.
 *
 * @param left attempts left
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
