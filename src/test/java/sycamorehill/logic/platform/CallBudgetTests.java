package sycamorehill.logic.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when the next platform call is allowed.
 */
class CallBudgetTests {

	private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);

	private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(15);

	private static final Instant NOW = Instant.EPOCH;

	@Test
	void burstIsBounded() {
		CallBudget budget = budget(1).recordCall(NOW).recordCall(NOW);
		assertThat(budget.allows(NOW)).isFalse();
	}

	@Test
	void creditRefillsOverTime() {
		CallBudget budget = budget(1).recordCall(NOW).recordCall(NOW);
		assertThat(budget.allows(NOW.plusSeconds(1))).isTrue();
	}

	@Test
	void successEndsTheBackoff() {
		assertThat(failed(budget(1), 10).recordSuccess().allows(NOW)).isTrue();
	}

	@Test
	void retryAfterIsRespected() {
		CallBudget budget = budget(1).recordFailure(NOW, Duration.ofSeconds(3));
		assertThat(budget.allows(NOW.plusSeconds(2))).isFalse();
	}

	@Test
	void nodesRetryAtDifferentTimes() {
		// If all nodes waited equally long after an outage of an hour, they would call at
		// the same moment and the platform would throttle them all again.
		Map<Long, Integer> nodesBySecond = new HashMap<>();
		for (int node = 0; node < 400; node++) {
			nodesBySecond.merge(failed(budget(node), 12).notBefore().getEpochSecond(), 1, Integer::sum);
		}
		assertThat(nodesBySecond.values()).allMatch((nodes) -> nodes < 60);
	}

	@Test
	void backoffIsBounded() {
		assertThat(failed(budget(1), 100).notBefore()).isBeforeOrEqualTo(NOW.plus(MAXIMUM_BACKOFF));
	}

	private static CallBudget budget(long seed) {
		return CallBudget.create(1, 2, FIRST_BACKOFF, MAXIMUM_BACKOFF, seed * 7919);
	}

	private static CallBudget failed(CallBudget budget, int times) {
		CallBudget failed = budget;
		for (int time = 0; time < times; time++) {
			failed = failed.recordFailure(NOW, Duration.ZERO);
		}
		return failed;
	}

}
