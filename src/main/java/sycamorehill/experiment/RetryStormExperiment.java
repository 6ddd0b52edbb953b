package sycamorehill.experiment;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.policy.Policy;
import sycamorehill.model.policy.RequestPolicy;
import sycamorehill.model.policy.RetryBudgetPolicy;

/**
 * Measures two dangers of sending again. All targets slow down: what is sent to them
 * against what callers offered, with and without the retry budget. One content crashes
 * each target that runs it and is sent again and again: targets lost, with and without
 * isolation. Each line has its baseline on the same seed.
 */
public final class RetryStormExperiment {

	private static final int DEFAULT_SEEDS = 5;

	private static final RetryBudgetPolicy NO_BUDGET = new RetryBudgetPolicy(1000, 1_000_000);

	private static final Duration PATIENCE = Duration.ofSeconds(2);

	private static final Duration NORMAL_SERVICE = Duration.ofMillis(100);

	private static final Duration SLOW_SERVICE = Duration.ofMillis(500);

	private static final int RESENDS = 20;

	private RetryStormExperiment() {
	}

	/**
	 * Prints the tables.
	 * @param arguments the number of seeds, 5 if none is given
	 */
	public static void main(String[] arguments) {
		int seeds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : DEFAULT_SEEDS;
		run(seeds, System.out);
	}

	/**
	 * Runs both measurements.
	 * @param seeds how many seeds, from 1
	 * @param out where the tables go
	 */
	public static void run(int seeds, PrintStream out) {
		out.println("All targets slow down: sent for each offered, and share served");
		out.println("seed budget | normal sent/offered served | slow sent/offered served | after sent/offered served");
		for (int seed = 1; seed <= seeds; seed++) {
			storm(seed, true, out);
			storm(seed, false, out);
		}
		out.println("One poisonous content, sent " + RESENDS + " times: targets lost, bystanders served");
		out.println("seed isolation | targets lost | bystanders served of all");
		for (int seed = 1; seed <= seeds; seed++) {
			poison(seed, true, out);
			poison(seed, false, out);
		}
	}

	private static void storm(long seed, boolean budget, PrintStream out) {
		ExperimentFleet fleet = ExperimentFleet.create(seed, policy(budget), false, 3, 6, 4);
		// Six targets with four slots serve 240 requests a second, or 48 when they are
		// slow.
		Duration length = Duration.ofSeconds(90);
		fleet.callEvery(Duration.ofMillis(10), length, "c");
		String normal = phase(fleet, Duration.ofSeconds(30));
		fleet.setServiceTime(SLOW_SERVICE);
		String slow = phase(fleet, Duration.ofSeconds(60));
		fleet.setServiceTime(NORMAL_SERVICE);
		String after = phase(fleet, Duration.ofSeconds(90));
		out.printf("%4d %6s | %s | %s | %s%n", seed, budget ? "yes" : "no", normal, slow, after);
	}

	private static String phase(ExperimentFleet fleet, Duration end) {
		fleet.time().runUntil(Instant.EPOCH.plus(end));
		ExperimentCounts counts = fleet.takeCounts();
		double sent = (double) counts.sent() / counts.offered();
		double served = (double) counts.served() / counts.offered();
		return String.format("%.2f %.2f", sent, served);
	}

	private static Policy policy(boolean budget) {
		Policy standard = Policy.standard();
		RequestPolicy request = standard.request();
		RetryBudgetPolicy retries = budget ? request.retries() : NO_BUDGET;
		RequestPolicy changed = new RequestPolicy(request.mostAttempts(), PATIENCE, request.targetWait(),
				request.resumeWait(), request.recheck(), request.backoff(), retries, request.resumes(),
				request.comeBack(), request.stopGrace(), request.stopBound());
		return new Policy(standard.admission(), standard.routing(), changed, standard.health(), standard.quarantine(),
				standard.order(), standard.ticket(), standard.membership(), standard.group(), standard.observation());
	}

	private static void poison(long seed, boolean isolating, PrintStream out) {
		ExperimentFleet fleet = ExperimentFleet.create(seed, Policy.standard(), isolating, 3, 12, 8);
		fleet.callEvery(Duration.ofMillis(10), Duration.ofSeconds(40), "c");
		fleet.time().runUntil(Instant.EPOCH.plusSeconds(2));
		for (int resend = 0; resend < RESENDS; resend++) {
			fleet.call(ExperimentTarget.POISON);
			Duration pause = Duration.ofMillis(500L + fleet.random().nextInt(1500));
			fleet.time().runUntil(fleet.time().now().plus(pause));
		}
		fleet.time().runUntil(Instant.EPOCH.plusSeconds(60));
		ExperimentCounts counts = fleet.takeCounts();
		out.printf("%4d %9s | %12d | %d of %d%n", seed, isolating ? "yes" : "no", fleet.deaths(), counts.served(),
				counts.served() + counts.unserved());
	}

}
