package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests are admitted when targets are full.
 */
class AdmissionTests {

	private static Admission.Estimate estimate(long expectedMillis, int requests, long leftMillis) {
		return new Admission.Estimate(Duration.ofMillis(expectedMillis), Duration.ofMillis(300), Duration.ZERO,
				Duration.ofMillis(leftMillis), Duration.ofMillis(6000), requests, 12, false);
	}

	@Test
	void admitsARequestThatCanBeOnTime() {
		assertThat(Admission.decide(estimate(180, 11, 6000))).isEqualTo(Admission.Decision.ON_TIME);
	}

	@Test
	void admitsLateRequestsOnlyBelowTheirLoadLimit() {
		assertThat(Admission.decide(estimate(400, 10, 6000))).isEqualTo(Admission.Decision.LATE);
		assertThat(Admission.decide(estimate(900, 11, 6000))).isEqualTo(Admission.Decision.REFUSED);
	}

	@Test
	void aRetryIsAdmittedAtAHigherLoadThanANewLateRequest() {
		assertThat(Admission.decide(estimate(900, 11, 5200))).isEqualTo(Admission.Decision.LATE);
		assertThat(Admission.decide(estimate(900, 12, 5200))).isEqualTo(Admission.Decision.REFUSED);
	}

	// A stream has started and its group is lost. Refusing the rest because all groups
	// are full would cut off an answer that the caller is reading.
	@Test
	void aStartedStreamIsAdmittedWhereOthersAreRefused() {
		Admission.Estimate full = estimate(900, 15, 5200);
		Admission.Estimate begun = new Admission.Estimate(full.timeToFirstAnswer(), full.firstAnswerObjective(),
				full.elapsed(), full.timeLeft(), full.timeout(), full.requests(), full.slots(), true);
		assertThat(Admission.decide(full)).isEqualTo(Admission.Decision.REFUSED);
		assertThat(Admission.decide(begun)).isEqualTo(Admission.Decision.LATE);
	}

	private static Admission.Decision decide(long expectedMillis, int requests, long leftMillis,
			WorkspaceStanding.Level standing) {
		Admission.Estimate plain = estimate(expectedMillis, requests, leftMillis);
		return Admission.decide(new Admission.Estimate(plain.timeToFirstAnswer(), plain.firstAnswerObjective(),
				plain.elapsed(), plain.timeLeft(), plain.timeout(), requests, plain.slots(), false, standing));
	}

	// A flood that can be answered on time would fill the queue of each target.
	@Test
	void aRequestOverItsShareTakesFreeSlotsOnlyAndYieldsToOthers() {
		WorkspaceStanding.Level over = WorkspaceStanding.Level.OVER_SHARE;
		assertThat(decide(180, 8, 6000, over)).isEqualTo(Admission.Decision.ON_TIME);
		assertThat(decide(180, 11, 6000, over)).isEqualTo(Admission.Decision.LATE);
		assertThat(decide(180, 12, 6000, over)).isEqualTo(Admission.Decision.REFUSED);
		assertThat(decide(900, 11, 5200, over)).isEqualTo(Admission.Decision.LATE);
		assertThat(decide(900, 12, 5200, over)).isEqualTo(Admission.Decision.REFUSED);
	}

	// All slots are taken by a workspace over its share.
	@Test
	void aRequestWithinItsShareFindsAPlace() {
		WorkspaceStanding.Level within = WorkspaceStanding.Level.WITHIN_SHARE;
		assertThat(decide(900, 13, 6000, within)).isEqualTo(Admission.Decision.WITHIN_SHARE);
		assertThat(decide(900, 18, 6000, within)).isEqualTo(Admission.Decision.REFUSED);
	}

	@Test
	void noRequestWithinItsShareIsRefusedThatWouldBeAdmittedWithoutShares() {
		for (int requests = 0; requests < 30; requests++) {
			for (long expected = 100; expected < 2000; expected += 50) {
				for (long left : new long[] { 6000, 5200, 2000 }) {
					if (Admission.decide(estimate(expected, requests, left)) != Admission.Decision.REFUSED) {
						assertThat(decide(expected, requests, left, WorkspaceStanding.Level.WITHIN_SHARE))
							.isNotEqualTo(Admission.Decision.REFUSED);
					}
				}
			}
		}
	}

	// Aborting a stream costs its caller more than the wait, whatever its workspace uses.
	@Test
	void aStartedStreamOverItsShareKeepsItsHigherBound() {
		Admission.Estimate full = estimate(900, 15, 5200);
		assertThat(Admission.decide(new Admission.Estimate(full.timeToFirstAnswer(), full.firstAnswerObjective(),
				full.elapsed(), full.timeLeft(), full.timeout(), full.requests(), full.slots(), true,
				WorkspaceStanding.Level.OVER_SHARE)))
			.isEqualTo(Admission.Decision.LATE);
	}

	@Test
	void nothingChangesWhileSlotsAreFree() {
		for (WorkspaceStanding.Level standing : WorkspaceStanding.Level.values()) {
			for (int requests = 0; requests < 9; requests++) {
				for (long expected : new long[] { 180, 900 }) {
					assertThat(decide(expected, requests, 6000, standing))
						.isEqualTo(Admission.decide(estimate(expected, requests, 6000)));
				}
			}
		}
	}

	@Test
	void aRequestWithLittleTimeLeftIsRefused() {
		assertThat(Admission.decide(estimate(400, 5, 700))).isEqualTo(Admission.Decision.REFUSED);
	}

	// A group with 12 slots of 1 s receives twice the load that it can answer for 20 s,
	// and each refused caller retries once, 0.3 to 0.8 s later. Admitting a few late
	// requests beyond the slots would leave no answer on time: a slot comes free every 83
	// ms and would always go to a request that is late already.
	@Test
	void twiceTheCapacityKeepsAnswersOnTime() {
		Simulation simulation = Simulation.run(42);
		assertThat(simulation.onTime).as(simulation.toString()).isGreaterThan((int) (0.85 * 20 * Simulation.SLOTS));
		assertThat(simulation.longestWait).isLessThan(6000);
	}

	@Test
	void fourTimesTheCapacityKeepsAnswersOnTime() {
		Simulation simulation = Simulation.run(21);
		assertThat(simulation.onTime).as(simulation.toString()).isGreaterThan((int) (0.85 * 20 * Simulation.SLOTS));
	}

	@Test
	void aLoadWithinCapacityIsNotRefused() {
		Simulation simulation = Simulation.run(130);
		assertThat(simulation.refusedTwice).as(simulation.toString()).isZero();
		assertThat(simulation.onTime).isGreaterThan((int) (0.95 * 20_000 / 130));
	}

	private static int busy(long[] freeAt, long now) {
		int busy = 0;
		for (long free : freeAt) {
			busy += (free > now) ? 1 : 0;
		}
		return busy;
	}

	/**
	 * One group, and callers that arrive at a fixed interval and retry once after a
	 * refusal.
	 */
	private static final class Simulation {

		private static final int SLOTS = 12;

		private static final int SERVICE_MILLIS = 1000;

		private static final int FIRST_EVENT_MILLIS = 150;

		private static final int TARGET_MILLIS = 300;

		private final long[] freeAt = new long[SLOTS];

		/** Priority, time of the first arrival, time of this arrival. */
		private final PriorityQueue<long[]> queue = new PriorityQueue<>(
				(one, other) -> (one[0] != other[0]) ? Long.compare(one[0], other[0]) : Long.compare(one[2], other[2]));

		/** Time of the retry, time of the first arrival. */
		private final PriorityQueue<long[]> retries = new PriorityQueue<>(
				(one, other) -> Long.compare(one[0], other[0]));

		private final Random random = new Random(1);

		private int onTime;

		private int late;

		private int refusedTwice;

		private long longestWait;

		static Simulation run(int gapMillis) {
			Simulation simulation = new Simulation();
			for (long now = 0; now < 20_000; now++) {
				if (now % gapMillis == 0) {
					simulation.arrive(now, now);
				}
				while (!simulation.retries.isEmpty() && simulation.retries.peek()[0] <= now) {
					simulation.arrive(now, simulation.retries.poll()[1]);
				}
				simulation.serve(now);
			}
			return simulation;
		}

		private void arrive(long now, long first) {
			int requests = busy(this.freeAt, now) + this.queue.size();
			long wait = Math.max(0, requests + 1 - SLOTS) * (long) SERVICE_MILLIS / SLOTS;
			Admission.Decision entrance = Admission.decide(new Admission.Estimate(
					Duration.ofMillis(FIRST_EVENT_MILLIS + wait), Duration.ofMillis(TARGET_MILLIS), Duration.ZERO,
					Duration.ofMillis(6000 - (now - first)), Duration.ofMillis(6000), requests, SLOTS, false));
			if (entrance != Admission.Decision.REFUSED) {
				this.queue.add(new long[] { (entrance == Admission.Decision.ON_TIME) ? 0 : 1, first, now });
			}
			else if (first == now) {
				this.retries.add(new long[] { now + 300 + this.random.nextInt(500), first });
			}
			else {
				this.refusedTwice++;
			}
		}

		private void serve(long now) {
			for (int slot = 0; slot < SLOTS && !this.queue.isEmpty(); slot++) {
				if (this.freeAt[slot] <= now) {
					long[] next = this.queue.poll();
					this.freeAt[slot] = now + SERVICE_MILLIS;
					if (now - next[1] + FIRST_EVENT_MILLIS <= TARGET_MILLIS) {
						this.onTime++;
					}
					else {
						this.late++;
					}
					this.longestWait = Math.max(this.longestWait, now - next[2]);
				}
			}
		}

		@Override
		public String toString() {
			return "in time " + this.onTime + ", late " + this.late + ", refused twice " + this.refusedTwice;
		}

	}

}
