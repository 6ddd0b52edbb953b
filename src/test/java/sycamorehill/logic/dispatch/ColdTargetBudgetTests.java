package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.WarmUp;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the division of a cold target's requests, and the token bucket of one node.
 */
class ColdTargetBudgetTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final ColdTargetBudget BUDGET = ColdTargetBudget.of(new ColdTargetTolerance(1.5, 5),
			new WarmUp(Duration.ofSeconds(3), 26));

	// The bursts leave a quarter of what the bound allows beyond the rate.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 6, 13, 14, 85, 300 })
	void allSharesTogetherKeepToTheBound(int nodes) {
		ColdTargetBudget.Share share = BUDGET.share(nodes);
		int sharing = Math.min(nodes, BUDGET.maximumNodes());
		assertThat(sharing * share.requestsPerSecond()).isBetween(25.999, 26.001);
		assertThat(sharing * share.burst()).isLessThanOrEqualTo(13.501);
		assertThat(share.burst()).isGreaterThanOrEqualTo(1);
		assertThat(share.transitTime()).isEqualTo(Duration.ofNanos((long) (4.5 / 26 * 1e9)));
	}

	// Each node needs a whole token: with a small bound only one node has any.
	@Test
	void aSmallBoundIsLeftToOneNode() {
		ColdTargetBudget small = ColdTargetBudget.of(new ColdTargetTolerance(1, 1),
				new WarmUp(Duration.ofSeconds(3), 2));
		assertThat(small.maximumNodes()).isEqualTo(1);
		assertThat(small.share(50).burst() + small.share(50).requestsPerSecond()).isLessThanOrEqualTo(3);
		ColdTargetBudget none = ColdTargetBudget.of(new ColdTargetTolerance(0.5, 0),
				new WarmUp(Duration.ofSeconds(3), 1));
		assertThat(none.share(50)).isEqualTo(ColdTargetBudget.Share.NONE);
	}

	// Requests that a partition holds up would arrive together with those sent after it.
	@Test
	void aBucketIsNotRefilledWhileARequestIsOverdue() {
		ColdTargetBucket bucket = ColdTargetBucket.full(START);
		bucket.assign(new ColdTargetBudget.Share(2, 1, Duration.ofMillis(100)), START);
		Transit held = Transit.startedAt(START);
		bucket.recordSent(held, START);
		assertThat(bucket.allowsRequest(START.plusSeconds(5))).isFalse();
		held.settle(START.plusSeconds(6));
		assertThat(bucket.allowsRequest(START.plusMillis(6399))).isFalse();
		assertThat(bucket.allowsRequest(START.plusMillis(6400))).isTrue();
	}

	@Test
	void aRequestThatArrivesInTimeDoesNotSlowTheRefillDown() {
		ColdTargetBucket bucket = ColdTargetBucket.full(START);
		bucket.assign(new ColdTargetBudget.Share(2, 1, Duration.ofMillis(100)), START);
		Transit sent = Transit.startedAt(START);
		bucket.recordSent(sent, START);
		sent.settle(START.plusMillis(90));
		assertThat(bucket.allowsRequest(START.plusMillis(499))).isFalse();
		assertThat(bucket.allowsRequest(START.plusMillis(500))).isTrue();
	}

	// This node may have sent to a target that turns cold just before it learnt of it.
	@Test
	void anEmptyBucketAllowsNothingAtFirst() {
		ColdTargetBucket bucket = ColdTargetBucket.empty(START);
		bucket.assign(new ColdTargetBudget.Share(2, 1, Duration.ofMillis(100)), START);
		assertThat(bucket.allowsRequest(START.plusMillis(499))).isFalse();
		assertThat(bucket.allowsRequest(START.plusMillis(500))).isTrue();
	}

	@Test
	void aShareThatIsTakenAwayLeavesNoTokens() {
		ColdTargetBucket bucket = ColdTargetBucket.full(START);
		bucket.assign(new ColdTargetBudget.Share(2, 1, Duration.ofMillis(100)), START);
		bucket.assign(ColdTargetBudget.Share.NONE, START);
		assertThat(bucket.allowsRequest(START.plusSeconds(5))).isFalse();
		bucket.assign(new ColdTargetBudget.Share(2, 1, Duration.ofMillis(100)), START.plusSeconds(5));
		assertThat(bucket.allowsRequest(START.plusSeconds(5))).isFalse();
	}

}
