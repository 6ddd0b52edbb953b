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

	ServiceBudgets earned(RequestPolicy policy) {
		return new ServiceBudgets(this.retries.earned(policy.retries()), this.resumes.earned(policy.resumes()));
	}

	boolean allows(boolean begun) {
		return (begun ? this.resumes : this.retries).allows();
	}

	ServiceBudgets spent(boolean begun) {
		return begun ? new ServiceBudgets(this.retries, this.resumes.spent())
				: new ServiceBudgets(this.retries.spent(), this.resumes);
	}

}
