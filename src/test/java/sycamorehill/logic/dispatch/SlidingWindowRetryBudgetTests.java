package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the bounds on retries.
 */
class SlidingWindowRetryBudgetTests {

	// All targets fail for a while and every request asks for a retry. In each window
	// that slides over the run, the retries stay below the ratio of the requests plus the
	// allowance.
	@Test
	void holdsInEveryWindowWhileAllTargetsFail() {
		SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 5);
		Random random = new Random(3);
		int[] requests = new int[600];
		int[] repeats = new int[600];
		Instant start = Instant.ofEpochSecond(50);
		for (int tenth = 0; tenth < 600; tenth++) {
			Instant now = start.plusMillis(tenth * 100L);
			int arrivals = random.nextInt(5);
			for (int arrival = 0; arrival < arrivals; arrival++) {
				budget.recordRequest(now);
				requests[tenth]++;
				repeats[tenth] += budget.tryRetry(now) ? 1 : 0;
			}
		}
		for (int from = 0; from + 100 <= 600; from++) {
			assertThat(sum(repeats, from))
				.isLessThanOrEqualTo((int) (0.2 * sum(requests, Math.max(0, from - 10)) + 6 + 0.2 * 50));
		}
	}

	private static int sum(int[] counts, int from) {
		int sum = 0;
		for (int index = from; index < from + 100; index++) {
			sum += counts[index];
		}
		return sum;
	}

}
