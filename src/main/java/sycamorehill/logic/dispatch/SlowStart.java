package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.EngineLoad;

/**
 * Learns how many requests one target can take from all nodes together, from a few at
 * first.
 *
 * The level rises with each answer that is on time, and with the load that the target has
 * carried for a step: a node that sees few answers follows the nodes that see more. It
 * also rises slowly by itself, so that slow start ends without any answer. Answers that
 * are late, refusals and requests that wait in the target lower it.
 */
final class SlowStart {

	/** Share of the slots with which slow start begins. */
	private static final double INITIAL_SHARE = 0.25;

	/**
	 * Time for which a load must have been carried before more is sent. Load reports of
	 * other nodes and first events arrive within it.
	 */
	private static final Duration STEP = Duration.ofMillis(400);

	/** Ratio of the level to the load that was carried for a step. */
	private static final double GROWTH = 2;

	/** Factor of the level after a late answer or a refusal. */
	private static final double DECREASE = 0.5;

	/**
	 * Time after a decrease in which late answers and refusals cause no further one,
	 * because the requests that were sent before it are late as well. The level doesn't
	 * grow by the carried load either.
	 */
	private static final Duration HOLD = Duration.ofSeconds(1);

	/** Ratio of the requests that are divided among the nodes to the level. */
	private static final double DIVIDED_SHARE = 2;

	/** Time in which the level rises from none to all slots without any answer. */
	private static final Duration SILENT_RISE = Duration.ofSeconds(6);

	/** Time after which slow start ends although answers are late. */
	private static final Duration MAXIMUM_TIME = Duration.ofSeconds(30);

	/**
	 * Number of requests that may wait in a target with free slots, because it begins new
	 * ones between two steps of its batch.
	 */
	private static final int MOMENTARY_WAITING = 1;

	private final int slots;

	private final Instant begunAt;

	private double level;

	private Instant steppedAt;

	private int loadAtStep;

	private int reportedRunning;

	private Instant heldUntil = Instant.MIN;

	private SlowStart(int slots, int carried, Instant now) {
		this.slots = slots;
		this.begunAt = now;
		this.steppedAt = now;
		this.level = Math.max(1, Math.max(carried, slots * INITIAL_SHARE));
	}

	/**
	 * Begins the slow start of a target.
	 * @param slots requests that it runs concurrently
	 * @param carried requests that it has and is known to carry
	 * @param now the current time
	 * @return the slow start
	 */
	static SlowStart begin(int slots, int carried, Instant now) {
		return new SlowStart(slots, carried, now);
	}

	/**
	 * Raises the level by what the target has carried since the last step.
	 * @param requests requests that it has from all nodes, as far as this node knows
	 * @param now the current time
	 */
	void step(int requests, Instant now) {
		Duration elapsed = Duration.between(this.steppedAt, now);
		if (elapsed.compareTo(STEP) < 0) {
			return;
		}
		if (!now.isBefore(this.heldUntil)) {
			raise(GROWTH * Math.min(this.loadAtStep, requests));
			raise(this.level + this.slots * (double) elapsed.toNanos() / SILENT_RISE.toNanos());
		}
		this.loadAtStep = requests;
		this.steppedAt = now;
	}

	private void raise(double newLevel) {
		this.level = Math.max(this.level, newLevel);
	}

	/**
	 * Records an answer that began when it was expected to.
	 */
	void recordOnTime() {
		raise(Math.max(this.level + 1, GROWTH * this.reportedRunning));
	}

	/**
	 * Records an answer that began too late for its caller, or a refusal.
	 * @param now the current time
	 */
	void recordOverload(Instant now) {
		if (!now.isBefore(this.heldUntil)) {
			lower(this.level * DECREASE, now);
		}
	}

	/**
	 * Records the load that the target reports.
	 * @param load the load
	 * @param now the current time
	 */
	void recordReport(EngineLoad load, Instant now) {
		this.reportedRunning = load.running();
		if (load.waiting() > MOMENTARY_WAITING && load.running() < this.level) {
			lower(load.running(), now);
		}
	}

	private void lower(double newLevel, Instant now) {
		this.level = Math.max(1, newLevel);
		this.heldUntil = now.plus(HOLD);
		this.loadAtStep = 0;
	}

	/**
	 * Returns whether the target has carried its full share, or has had the time to.
	 * @param now the current time
	 * @return true if its requests need not be limited any more
	 */
	boolean isOver(Instant now) {
		return this.level >= this.slots || !now.isBefore(this.begunAt.plus(MAXIMUM_TIME));
	}

	/**
	 * Returns the number of requests that all nodes together should have with the target.
	 * @return the number of requests
	 */
	double level() {
		return this.level;
	}

	/**
	 * Returns the number of requests that one node should have with the target. More are
	 * divided than the level allows, because a node often has fewer; all of them together
	 * are compared with the level as well. They are divided in whole numbers: what is
	 * left over goes to the first nodes.
	 * @param nodes number of nodes
	 * @param place number of nodes that come before it
	 * @return the number of requests
	 */
	int part(int nodes, int place) {
		int requests = (int) (DIVIDED_SHARE * this.level);
		return requests / nodes + ((place < requests % nodes) ? 1 : 0);
	}

}
