package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

import sycamorehill.model.serving.WorkspaceUse;

/**
 * Recent use of one service or model by one workspace through this node, by the priority
 * of the routes. Amounts decay exponentially.
 */
final class PriorityUse {

	/**
	 * Time in which an amount falls to 1/e. It covers the duration of several answers, so
	 * that a share follows a burst within seconds, but not single requests.
	 */
	static final Duration DECAY_TIME = Duration.ofSeconds(3);

	/** Number of route priorities that are distinguished. */
	private static final int PRIORITIES = 10;

	private final double[] asked = new double[PRIORITIES];

	private final double[] admitted = new double[PRIORITIES];

	private Instant decayedAt;

	private PriorityUse(Instant now) {
		this.decayedAt = now;
	}

	static PriorityUse create(Instant now) {
		return new PriorityUse(now);
	}

	void addAsked(int priority, double amount, Instant now) {
		decay(now);
		this.asked[index(priority)] += amount;
	}

	void addAdmitted(int priority, double amount, Instant now) {
		decay(now);
		this.admitted[index(priority)] += amount;
	}

	WorkspaceUse total(Instant now) {
		decay(now);
		return new WorkspaceUse(Arrays.stream(this.asked).sum(), Arrays.stream(this.admitted).sum());
	}

	/**
	 * Returns the part of the asked amount that is due to more urgent routes.
	 * @param priority the priority of a route
	 * @return the part, from 0 to 1
	 */
	double moreUrgentPart(int priority) {
		return part(this.asked, 0, index(priority));
	}

	/**
	 * Returns the part of the asked amount that is due to routes of a priority.
	 * @param priority the priority
	 * @return the part, from 0 to 1
	 */
	double askedPart(int priority) {
		return part(this.asked, index(priority), index(priority) + 1);
	}

	/**
	 * Returns the part of the admitted amount that is due to routes of a priority.
	 * @param priority the priority
	 * @return the part, from 0 to 1
	 */
	double admittedPart(int priority) {
		return part(this.admitted, index(priority), index(priority) + 1);
	}

	private static double part(double[] amounts, int from, int end) {
		double total = Arrays.stream(amounts).sum();
		return (total > 0) ? Arrays.stream(amounts, from, end).sum() / total : 0;
	}

	private static int index(int priority) {
		return Math.max(0, Math.min(PRIORITIES - 1, priority));
	}

	private void decay(Instant now) {
		if (!now.isAfter(this.decayedAt)) {
			return;
		}
		double elapsed = Duration.between(this.decayedAt, now).toNanos();
		double factor = Math.exp(-elapsed / DECAY_TIME.toNanos());
		for (int index = 0; index < PRIORITIES; index++) {
			this.asked[index] *= factor;
			this.admitted[index] *= factor;
		}
		this.decayedAt = now;
	}

}
