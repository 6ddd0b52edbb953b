package sycamorehill.experiment;

import java.time.Duration;

import sycamorehill.model.policy.OrderPolicy;

/**
 * Measures what orders cost: platform writes for each order, the wait for the claim, and
 * the part served during an outage, in virtual time with fixed seeds. Run it with
 * {@code java -cp target/sycamorehill-0.1.0.jar sycamorehill.experiment.OrderExperiment}.
 */
public final class OrderExperiment {

	private static final int[] NODES = { 6, 24 };

	private static final int[] ORDERS_PER_SECOND = { 50, 200, 500, 1000 };

	private static final double[] ISSUED_SHARES = { 0, 0.5, 1 };

	private OrderExperiment() {
	}

	/**
	 * Prints the tables.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		System.out.println(OrderTrialResult.header());
		OrderPolicy standard = OrderPolicy.standard();
		for (int nodes : NODES) {
			for (int rate : ORDERS_PER_SECOND) {
				print(OrderTrialSetting.of("paced writes by one keeper", nodes, rate, standard));
				print(OrderTrialSetting.of("a write at once by one keeper", nodes, rate,
						paced(standard, Duration.ZERO, Duration.ZERO)));
			}
			print(OrderTrialSetting.of("paced writes by every node", nodes, 500, standard).withoutKeepers());
		}
		for (double share : ISSUED_SHARES) {
			String name = "outage from 20 s to 40 s, issued numbers %.0f%%".formatted(100 * share);
			print(OrderTrialSetting.of(name, 6, 100, standard).withOutage(share));
		}
	}

	private static void print(OrderTrialSetting setting) {
		System.out.println(OrderTrial.run(setting).row());
	}

	private static OrderPolicy paced(OrderPolicy policy, Duration commitInterval, Duration settlementDelay) {
		return new OrderPolicy(policy.shards(), commitInterval, policy.commitBurst(), settlementDelay,
				policy.claimPatience(), policy.claimRetry(), policy.settlementRetry(), policy.platformTimeout(),
				policy.viewBound(), policy.retention(), policy.largestAnswer(), policy.mostClaims(), policy.mostHeld(),
				policy.issuedLifetime());
	}

}
