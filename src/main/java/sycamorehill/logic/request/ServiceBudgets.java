package sycamorehill.logic.request;

import sycamorehill.model.policy.RequestPolicy;

/**
 * The two retry budgets of one service. Started streams have their own, larger budget:
 * the loss of one target interrupts all its streams at once, and resuming them repeats
 * only part of the computation.
 *
 * @param retries the budget for requests that restart from the beginning
 * @param resumes the budget for streams that have started
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
