package sycamorehill.model.policy;

/**
 * Budget of a service's further attempts.
 *
 * @param ratio further attempts that each first attempt adds to the budget
 * @param burst maximum number of further attempts that the budget accumulates
 */
public record RetryBudgetPolicy(double ratio, double burst) {

}
