package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.util.PriorityQueue;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who is let in when targets are full.
 */
class AdmissionTests {

	private static Admission.Outlook outlook(long expectedMillis, int requests, long leftMillis) {
		return new Admission.Outlook(Duration.ofMillis(expectedMillis), Duration.ofMillis(300), Duration.ZERO,
				Duration.ofMillis(leftMillis), Duration.ofMillis(6000), requests, 12);
	}

	@Test
	void takesARequestThatCanBeInTimeUrgently() {
		assertThat(Admission.decide(outlook(180, 11, 6000))).isEqualTo(Admission.Entrance.IN_TIME);
	}

	@Test
	void lateRequestsGiveWayAndAreFew() {
		assertThat(Admission.decide(outlook(400, 13, 6000))).isEqualTo(Admission.Entrance.LATE);
		assertThat(Admission.decide(outlook(900, 17, 6000))).isEqualTo(Admission.Entrance.REFUSED);
	}

	@Test
	void aCallerThatComesBackGoesBeforeNewOnes() {
		assertThat(Admission.decide(outlook(900, 16, 5200))).isEqualTo(Admission.Entrance.LATE);
		assertThat(Admission.decide(outlook(900, 23, 5200))).isEqualTo(Admission.Entrance.REFUSED);
	}

	@Test
	void aRequestWhoseTimeIsNearlyOverIsNotHeld() {
		assertThat(Admission.decide(outlook(400, 5, 700))).isEqualTo(Admission.Entrance.REFUSED);
	}

	// One group with 12 slots of 1 s each gets 24 requests a second for 20 s, twice what
	// it
	// can answer. Whoever can be in time still is: nearly all slots go to answers in
	// time, and
	// no caller is held for longer than the late ones that a target may have.
	@Test
	void twiceTheLoadKeepsAnswersInTime() {
		int slots = 12;
		int serviceMillis = 1000;
		long[] freeAt = new long[slots];
		PriorityQueue<long[]> queue = new PriorityQueue<>(
				(one, other) -> (one[0] != other[0]) ? Long.compare(one[0], other[0]) : Long.compare(one[1], other[1]));
		int inTime = 0;
		long longestWait = 0;
		for (long now = 0; now < 20_000; now++) {
			if (now % 42 == 0) {
				int busy = busy(freeAt, now) + queue.size();
				long urgent = queue.stream().filter((waiting) -> waiting[0] == 0).count();
				long expected = (busy < slots) ? 0 : (urgent + 1) * serviceMillis / slots;
				Admission.Entrance entrance = Admission
					.decide(new Admission.Outlook(Duration.ofMillis(150 + expected), Duration.ofMillis(300),
							Duration.ZERO, Duration.ofMillis(6000), Duration.ofMillis(6000), busy, slots));
				if (entrance != Admission.Entrance.REFUSED) {
					queue.add(new long[] { (entrance == Admission.Entrance.IN_TIME) ? 0 : 1, now });
				}
			}
			for (int slot = 0; slot < slots && !queue.isEmpty(); slot++) {
				if (freeAt[slot] <= now) {
					long[] next = queue.poll();
					freeAt[slot] = now + serviceMillis;
					inTime += (now - next[1] + 150 <= 300) ? 1 : 0;
					longestWait = Math.max(longestWait, now - next[1]);
				}
			}
		}
		assertThat(inTime).isGreaterThan((int) (0.85 * 20 * slots));
		assertThat(longestWait).isLessThan(6000);
	}

	private static int busy(long[] freeAt, long now) {
		int busy = 0;
		for (long free : freeAt) {
			busy += (free > now) ? 1 : 0;
		}
		return busy;
	}

}
