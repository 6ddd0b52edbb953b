package sycamorehill.logic.request;

import sycamorehill.model.policy.RequestPolicy;

/**
 * The two budgets of one service. Streams that have begun have their own, larger one: the
 * loss of one target breaks all its streams at once, and only a part of their work is
 * repeated.
 *
 * @param retries for requests that start from the beginning
 * @param resumes for streams that have begun
 */
record ServiceBudgets(RetryBudget retries, RetryBudget resumes) {

	static ServiceBudgets full(RequestPolicy policy) {
		return new ServiceBudgets(RetryBudget.full(policy.retries()), RetryBudget.full(policy.resumes()));
	}

	ServiceBudgets afterFirstAttempt(RequestPolicy policy) {
		return new ServiceBudgets(this.retries.afterFirstAttempt(policy.retries()),
				this.resumes.afterFirstAttempt(policy.resumes()));
	}

	boolean allowsRetry(boolean begun) {
		return (begun ? this.resumes : this.retries).allowsRetry();
	}

	ServiceBudgets afterRetry(boolean begun) {
		return begun ? new ServiceBudgets(this.retries, this.resumes.afterRetry())
				: new ServiceBudgets(this.retries.afterRetry(), this.resumes);
	}

}
