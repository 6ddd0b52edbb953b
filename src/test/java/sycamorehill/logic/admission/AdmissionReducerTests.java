package sycamorehill.logic.admission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.policy.AdmissionPolicy;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.WorkspaceItem;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionReducerTests {

	private static final WorkspaceItem LARGE = RequestFixtures.workspace("large", 1e6, 100_000, 1);

	private static final WorkspaceItem SMALL = RequestFixtures.workspace("small", 1e6, 100_000, 1);

	private static final int CONCURRENCY_LIMIT = AdmissionPolicy.standard().firstConcurrent();

	private static final int QUEUE_LIMIT = AdmissionPolicy.standard().queueLimit();

	private final AdmissionHarness run = AdmissionHarness.with(LARGE, SMALL);

	@Test
	void aRequestIsAdmittedAtOnceBelowTheConcurrencyLimit() {
		this.run.arrive(RequestFixtures.chat(1, "large", this.run.now()));
		assertThat(this.run.admittedNumbers()).containsExactly(1L);
	}

	@Test
	void requestsBeyondTheConcurrencyLimitWait() {
		fill("large", CONCURRENCY_LIMIT + 5);
		assertThat(this.run.admitted()).hasSize(CONCURRENCY_LIMIT);
		assertThat(this.run.waiting()).isEqualTo(5);
	}

	@Test
	void aFinishedRequestAdmitsTheNextWaitingOne() {
		fill("large", CONCURRENCY_LIMIT + 1);
		this.run.finish(this.run.admitted().get(0));
		assertThat(this.run.admitted()).hasSize(CONCURRENCY_LIMIT + 1);
	}

	/**
	 * Guards against a small workspace whose requests wait behind hundreds of earlier
	 * ones of a large workspace.
	 */
	@Test
	void aSmallWorkspaceGetsItsFairShareBesideALargeOne() {
		fill("large", CONCURRENCY_LIMIT + 100);
		this.run.arrive(RequestFixtures.chat(9001, "small", this.run.now()));
		this.run.finish(this.run.admitted().get(0));
		this.run.finish(this.run.admitted().get(1));
		assertThat(this.run.admittedNumbers().subList(CONCURRENCY_LIMIT, CONCURRENCY_LIMIT + 2)).contains(9001L);
	}

	/**
	 * Guards against refusing the request of a small workspace because a large one has
	 * filled the queue.
	 */
	@Test
	void aFullQueueRefusesTheLastRequestOfTheMostLoadedWorkspace() {
		fill("large", CONCURRENCY_LIMIT + QUEUE_LIMIT);
		this.run.arrive(RequestFixtures.chat(9001, "small", this.run.now()));
		assertThat(this.run.refused()).containsOnlyKeys((long) (CONCURRENCY_LIMIT + QUEUE_LIMIT));
		assertThat(this.run.refused().values()).first()
			.satisfies((refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED))
			.satisfies((refusal) -> assertThat(refusal.retryAfter()).isPresent());
	}

	@Test
	void aHighPriorityRequestGoesFirstWithinItsWorkspace() {
		fill("large", CONCURRENCY_LIMIT + 1);
		this.run.arrive(RequestFixtures.chat(9001, "large", Priority.HIGH, this.run.now().plusSeconds(10)));
		this.run.finish(this.run.admitted().get(0));
		assertThat(this.run.admittedNumbers()).endsWith(9001L);
	}

	/**
	 * Guards against a request of low priority that is never served because requests of
	 * high priority keep arriving.
	 */
	@Test
	void aLowPriorityRequestIsServedBeforeMuchLaterHighPriorityOnes() {
		fill("large", CONCURRENCY_LIMIT);
		this.run.arrive(RequestFixtures.chat(9001, "large", Priority.LOW, this.run.now().plusSeconds(60)));
		this.run.advanceTime(AdmissionPolicy.standard().priorityStep().multipliedBy(2).plusMillis(100));
		this.run.arrive(RequestFixtures.chat(9002, "large", Priority.HIGH, this.run.now().plusSeconds(60)));
		this.run.finish(this.run.admitted().get(0));
		assertThat(this.run.admittedNumbers()).endsWith(9001L);
	}

	@Test
	void aDisconnectedCallersRequestLeavesTheQueue() {
		fill("large", CONCURRENCY_LIMIT + 1);
		RequestDescription last = RequestFixtures.chat(CONCURRENCY_LIMIT + 1, "large", this.run.now());
		this.run.apply(new RequestEvent.CallerGone(last.identifier()));
		this.run.finish(this.run.admitted().get(0));
		assertThat(this.run.admitted()).hasSize(CONCURRENCY_LIMIT);
	}

	@Test
	void aRequestThatWaitsUntilItsDeadlineIsRefusedAsNotRun() {
		fill("large", CONCURRENCY_LIMIT + 1);
		this.run.advanceTime(Duration.ofMillis(10_100));
		assertThat(reasons()).containsEntry((long) (CONCURRENCY_LIMIT + 1), RefusalReason.DEADLINE_TOO_SHORT);
	}

	@Test
	void aDeadlineBelowTheFirstTokenLatencyIsRefusedAtOnce() {
		fill("large", 20);
		for (RequestDescription request : this.run.admitted()) {
			this.run.firstTokenAfter(request, Duration.ofMillis(800));
		}
		this.run.arrive(RequestFixtures.chat(9001, "large", Priority.NORMAL, this.run.now().plusMillis(500)));
		assertThat(reasons()).containsEntry(9001L, RefusalReason.DEADLINE_TOO_SHORT);
	}

	/**
	 * Guards against a service that refuses every request after the targets were slow for
	 * a moment: the measured latency exceeds the deadlines, and nothing is sent that
	 * would measure it again.
	 */
	@Test
	void anIdleServiceAdmitsARequestDespiteEarlierHighLatency() {
		fill("large", 20);
		for (RequestDescription request : this.run.admitted()) {
			this.run.firstTokenAfter(request, Duration.ofMillis(800));
		}
		this.run.admitted().forEach(this.run::finish);
		this.run.arrive(RequestFixtures.chat(9001, "large", Priority.NORMAL, this.run.now().plusMillis(500)));
		assertThat(this.run.admittedNumbers()).endsWith(9001L);
	}

	@Test
	void aStoppingNodeAcceptsRequestsUntilItsGracePeriodEnds() {
		this.run.apply(new NodeEvent.StopRequested());
		this.run.arrive(RequestFixtures.chat(1, "large", this.run.now()));
		this.run.advanceTime(Policy.standard().request().stopGrace());
		this.run.arrive(RequestFixtures.chat(2, "large", this.run.now()));
		assertThat(this.run.admittedNumbers()).containsExactly(1L);
		assertThat(reasons()).isEqualTo(Map.of(2L, RefusalReason.NODE_STOPPING));
	}

	@Test
	void aWorkspaceOverItsRateIsRefusedWithRetryAfter() {
		AdmissionHarness limited = AdmissionHarness.with(RequestFixtures.workspace("large", 2, 100, 1));
		for (long number = 1; number <= 10; number++) {
			limited.arrive(RequestFixtures.chat(number, "large", limited.now()));
		}
		assertThat(limited.refused().values()).isNotEmpty()
			.allSatisfy((refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.LIMIT_REACHED))
			.allSatisfy((refusal) -> assertThat(refusal.retryAfter()).isPresent());
	}

	@Test
	void aWorkspacesInFlightLimitIsEnforced() {
		AdmissionHarness limited = AdmissionHarness.with(RequestFixtures.workspace("large", 1e6, 8, 1));
		for (long number = 1; number <= 10; number++) {
			limited.arrive(RequestFixtures.chat(number, "large", limited.now()));
		}
		assertThat(limited.admitted()).hasSize(8 / AdmissionPolicy.standard().nodesPerDataCentre());
	}

	@Test
	void theConcurrencyLimitFallsWhenFirstTokensAreSlow() {
		fill("large", CONCURRENCY_LIMIT);
		List<RequestDescription> first = this.run.admitted();
		for (int round = 0; round < 8; round++) {
			for (RequestDescription request : first) {
				this.run.firstTokenAfter(request, Duration.ofMillis((round < 2) ? 20 : 400));
			}
		}
		first.forEach(this.run::finish);
		fill("small", 2 * CONCURRENCY_LIMIT);
		assertThat(this.run.admitted().size() - first.size()).isLessThan(CONCURRENCY_LIMIT / 2);
	}

	private void fill(String workspace, int requests) {
		long base = workspace.equals("large") ? 0 : 5000;
		for (long number = 1; number <= requests; number++) {
			this.run.arrive(RequestFixtures.chat(base + number, workspace, this.run.now()));
		}
	}

	private Map<Long, RefusalReason> reasons() {
		Map<Long, RefusalReason> reasons = new TreeMap<>();
		this.run.refused().forEach((number, refusal) -> reasons.put(number, refusal.reason()));
		return reasons;
	}

}
