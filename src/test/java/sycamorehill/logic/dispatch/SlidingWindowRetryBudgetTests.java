package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;

import org.junit.jupiter.api.Test;

import sycamorehill.support.RetryCount;

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
				repeats[tenth] += tryRetry(budget, now) ? 1 : 0;
			}
		}
		for (int from = 0; from + 100 <= 600; from++) {
			assertThat(sum(repeats, from))
				.isLessThanOrEqualTo((int) (0.2 * sum(requests, Math.max(0, from - 10)) + 6 + 0.2 * 50));
		}
	}

	private static final RetryCount.Bound BOUND = new RetryCount.Bound(Duration.ofSeconds(10), 0.2, 5);

	private final RetryCount count = new RetryCount();

	private Instant now = Instant.ofEpochSecond(50);

	private long lastRequest;

	// All requests fail from some moment on: what was asked before the window would be
	// weighed against the retries in it.
	@Test
	void aWindowAllowsNoRetriesForRequestsOutsideOfIt() {
		SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 5);
		run(budget, Duration.ofSeconds(30), false);
		run(budget, Duration.ofSeconds(30), true);
		assertThat(this.count.evaluate(BOUND).worst()).isEmpty();
	}

	// Each process would weigh the requests before its last retries, and together they
	// would weigh more requests than there are in any window.
	@Test
	void processesThatFollowEachOtherKeepToTheBoundOfOne() {
		SlidingWindowRetryBudget first = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 5);
		run(first, Duration.ofSeconds(30), false);
		run(first, Duration.ofSeconds(3), true);
		for (int process = 0; process < 5; process++) {
			SlidingWindowRetryBudget next = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 0);
			run(next, Duration.ofSeconds(4), true);
		}
		assertThat(this.count.evaluate(BOUND).worst()).isEmpty();
	}

	// Sends fifty requests a second, each at once to a second target if it fails.
	private void run(SlidingWindowRetryBudget budget, Duration time, boolean failing) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end); this.now = this.now.plusMillis(20)) {
			long request = ++this.lastRequest;
			this.count.recordRequest(this.now);
			budget.recordRequest(this.now);
			this.count.recordArrival(request, this.now);
			if (failing && tryRetry(budget, this.now)) {
				this.count.recordArrival(request, this.now);
			}
		}
	}

	// Takes a retry that arrives at once.
	private static boolean tryRetry(SlidingWindowRetryBudget budget, Instant now) {
		return budget.tryRetry(now, now).isPresent();
	}

	@Test
	void aRetryCountsUntilAWindowAfterItsArrival() {
		SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 2);
		GrantedRetry heldUp = budget.tryRetry(this.now, this.now.plusSeconds(8)).orElseThrow();
		GrantedRetry arrived = budget.tryRetry(this.now, this.now.plusSeconds(8)).orElseThrow();
		arrived.recordArrival(this.now.plusSeconds(1));
		heldUp.recordArrival(this.now.plusSeconds(6));
		assertThat(budget.tryRetry(this.now.plusMillis(10_900), Instant.MAX)).isEmpty();
		assertThat(budget.tryRetry(this.now.plusMillis(11_200), this.now.plusSeconds(12))).isPresent();
		assertThat(budget.tryRetry(this.now.plusMillis(15_900), Instant.MAX)).isEmpty();
		assertThat(budget.tryRetry(this.now.plusMillis(16_200), this.now.plusSeconds(17))).isPresent();
	}

	// Without a target, the retry leaves room for that of another request.
	@Test
	void aRetryThatWasNotSentIsPutBack() {
		SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.of(Duration.ofSeconds(10), 0.2, 1);
		GrantedRetry retry = budget.tryRetry(this.now, this.now.plusSeconds(6)).orElseThrow();
		assertThat(budget.tryRetry(this.now, Instant.MAX)).isEmpty();
		budget.putBack(retry);
		assertThat(budget.tryRetry(this.now, Instant.MAX)).isPresent();
	}

	private static int sum(int[] counts, int from) {
		int sum = 0;
		for (int index = from; index < from + 100; index++) {
			sum += counts[index];
		}
		return sum;
	}

}
