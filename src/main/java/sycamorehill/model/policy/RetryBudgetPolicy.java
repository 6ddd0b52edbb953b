package sycamorehill.model.policy;

/**
 * How many further attempts a service may have.
 *
 * @param ratio further attempts that each first attempt earns
 * @param burst the most that is saved up
 */
public record RetryBudgetPolicy(double ratio, double burst) {

}
