package sycamorehill.logic.request;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.support.SampleRequests;

import static org.assertj.core.api.Assertions.assertThat;

class RequestReducerTests {

	private static final AttemptResult CONNECTION_LOST = new AttemptResult.Interrupted(true, "reset");

	private static final AttemptResult STALLED = new AttemptResult.Interrupted(false, "nothing came");

	private static final AttemptResult REFUSED = new AttemptResult.RefusedBeforeRunning(false, Duration.ofSeconds(7),
			"full");

	private static final AttemptResult NOT_SENT = new AttemptResult.NotSent("connection refused");

	private final RequestDescription request = SampleRequests.request("n1", 1, "a");

	private final RequestHarness run = new RequestHarness();

	@BeforeEach
	void addTwoTargets() {
		this.run.view().targets().add(SampleRequests.target("t1"));
		this.run.view().targets().add(SampleRequests.target("t2"));
	}

	@Test
	void completeAnswerCompletesTheRequest() {
		this.run.clear(this.request, Idempotency.REPEATABLE).end(new AttemptResult.Completed(5, Optional.empty()));
		assertThat(this.run.outcomes()).containsExactly(new RequestOutcome.Completed());
	}

	@Test
	void interruptedStreamResumesOnAnotherTarget() {
		this.run.clear(this.request, Idempotency.REPEATABLE).firstToken().end(3, CONNECTION_LOST);
		assertThat(this.run.starts()).extracting((start) -> start.target().name())
			.containsExactly(TargetName.of("t1"), TargetName.of("t2"));
	}

	// During a rollout, a stream is interrupted and the nearest target already has the
	// new model version. Resuming there would give the caller an answer mixed from two
	// versions.
	@Test
	void interruptedStreamResumesOnlyOnItsModelVersion() {
		setModelVersions("1", "2", "1");
		this.run.clear(this.request, Idempotency.REPEATABLE).firstToken().end(3, CONNECTION_LOST);
		assertThat(this.run.starts()).extracting((start) -> start.target().name())
			.containsExactly(TargetName.of("t1"), TargetName.of("t3"));
	}

	@Test
	void interruptedStreamWithoutATargetOfItsModelVersionFails() {
		setModelVersions("1", "2", "2");
		this.run.clear(this.request, Idempotency.REPEATABLE)
			.firstToken()
			.end(3, CONNECTION_LOST)
			.advance(Duration.ofSeconds(30));
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void requestWithoutTokensMayBeRetriedOnAnotherModelVersion() {
		setModelVersions("1", "2", "2");
		this.run.clear(this.request, Idempotency.REPEATABLE).end(0, CONNECTION_LOST).advance(Duration.ofSeconds(1));
		assertThat(this.run.starts()).extracting((start) -> start.target().name())
			.containsExactly(TargetName.of("t1"), TargetName.of("t2"));
	}

	// A ticket removes the service, or its groups, while an answer streams.
	@Test
	void runningAttemptGoesOnWhenNoTargetIsListedAnyMore() {
		this.run.clear(this.request, Idempotency.REPEATABLE).firstToken();
		this.run.view().targets().clear();
		this.run.advance(Duration.ofSeconds(60));
		assertThat(this.run.outcomes()).isEmpty();
		assertThat(RequestHarness.elementsOf(this.run.effects(), RequestEffect.CancelAttempt.class)).isEmpty();
		this.run.end(new AttemptResult.Completed(5, Optional.empty()));
		assertThat(this.run.outcomes()).containsExactly(new RequestOutcome.Completed());
	}

	private void setModelVersions(String first, String second, String third) {
		this.run.view().targets().clear();
		this.run.view().targets().add(SampleRequests.target("t1", first));
		this.run.view().targets().add(SampleRequests.target("t2", second));
		this.run.view().targets().add(SampleRequests.target("t3", third));
	}

	@Test
	void attemptIdentifiersAreUnique() {
		this.run.clear(this.request, Idempotency.REPEATABLE).end(CONNECTION_LOST);
		assertThat(this.run.starts()).extracting(RequestEffect.StartAttempt::attempt).doesNotHaveDuplicates();
	}

	// The first attempt is interrupted after the order was sent, and the second target
	// refuses. Answering "not run" would let the caller repeat an order that may have
	// run.
	@Test
	void refusalAfterAnInterruptedAttemptIsUnknown() {
		this.run.clear(this.request, Idempotency.REPEATABLE).end(CONNECTION_LOST).end(REFUSED);
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.Unknown.class);
	}

	// If the connection is lost after the target received the order, sending it to a
	// second target could run it twice.
	@Test
	void interruptedOrderIsNotRetried() {
		this.run.clear(this.request, Idempotency.ONCE_WITH_KEY).end(CONNECTION_LOST).advance(Duration.ofMinutes(1));
		assertThat(this.run.starts()).hasSize(1);
	}

	@Test
	void failedOrderIsNotRetried() {
		this.run.clear(this.request, Idempotency.ONCE_WITHOUT_KEY).end(new AttemptResult.FailedWhileRunning("error"));
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.Failed.class);
	}

	@Test
	void orderThatReachedNoTargetIsRetried() {
		this.run.clear(this.request, Idempotency.ONCE_WITH_KEY).end(NOT_SENT);
		assertThat(this.run.starts()).hasSize(2);
	}

	@Test
	void refusalByEveryTargetIsNotRun() {
		this.run.clear(this.request, Idempotency.ONCE_WITH_KEY)
			.end(REFUSED)
			.advance(Duration.ofSeconds(1))
			.end(REFUSED)
			.advance(Duration.ofSeconds(1));
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.NotRun.class);
	}

	@Test
	void refusalCarriesTheRetryAfterOfTheTarget() {
		this.run.view().targets().remove(1);
		this.run.clear(this.request, Idempotency.REPEATABLE).end(REFUSED).advance(Duration.ofSeconds(1));
		RequestOutcome.NotRun outcome = (RequestOutcome.NotRun) this.run.outcomes().get(0);
		assertThat(outcome.refusal().retryAfter()).contains(Duration.ofSeconds(7));
	}

	@Test
	void requestWaitsForATargetToAppear() {
		this.run.view().targets().clear();
		this.run.clear(this.request, Idempotency.REPEATABLE);
		this.run.view().targets().add(SampleRequests.target("t3"));
		this.run.advance(Duration.ofMillis(300));
		assertThat(this.run.starts()).hasSize(1);
	}

	@Test
	void requestWithoutTargetIsRefusedAfterABoundedWait() {
		this.run.view().targets().clear();
		this.run.clear(this.request, Idempotency.REPEATABLE).advance(Duration.ofSeconds(3));
		assertThat(this.run.outcomes()).hasSize(1)
			.first()
			.isInstanceOfSatisfying(RequestOutcome.NotRun.class,
					(outcome) -> assertThat(outcome.refusal().reason()).isEqualTo(RefusalReason.NO_TARGET));
	}

	@Test
	void disconnectedCallerCancelsItsAttempt() {
		this.run.clear(this.request, Idempotency.REPEATABLE);
		AttemptIdentifier attempt = this.run.lastAttempt();
		this.run.feed(new RequestEvent.CallerGone(this.request.identifier()));
		assertThat(this.run.effects()).contains(new RequestEffect.CancelAttempt(attempt));
	}

	// A caller disconnects while its order runs and retries with the same key. Cancelling
	// the order and dropping its answer would leave the outcome unknown for ever.
	@Test
	void orderRunsOnAfterItsCallerDisconnectedAndItsAnswerIsKept() {
		Optional<RecordedAnswer> answer = Optional.of(new RecordedAnswer(200, "text/plain", "booked"));
		this.run.clear(this.request, Idempotency.ONCE_WITH_KEY)
			.feed(new RequestEvent.CallerGone(this.request.identifier()))
			.end(new AttemptResult.Completed(0, answer));
		assertThat(this.run.finished()).extracting(RequestEvent.Finished::answer).containsExactly(answer);
	}

	// A caller disconnects while its order is being claimed. If the claim were not
	// released, retries with the same key would be answered "still running" for ever.
	@Test
	void orderClearedAfterItsCallerDisconnectedIsNotSentAndIsReportedAsNotRun() {
		this.run.feed(new RequestEvent.Arrived(this.request))
			.feed(new RequestEvent.CallerGone(this.request.identifier()))
			.feed(new RequestEvent.Cleared(this.request, Idempotency.ONCE_WITH_KEY));
		assertThat(this.run.starts()).isEmpty();
		assertThat(this.run.finished()).last()
			.satisfies((finished) -> assertThat(finished.outcome()).isInstanceOf(RequestOutcome.NotRun.class))
			.satisfies((finished) -> assertThat(finished.idempotency()).isEqualTo(Idempotency.ONCE_WITH_KEY));
	}

	@Test
	void refusalByAnotherReducerIsTheFinalAnswer() {
		RequestOutcome refusal = new RequestOutcome.NotRun(Refusal.of(RefusalReason.OVERLOADED, "full"));
		this.run.feed(new RequestEvent.Arrived(this.request))
			.feed(new RequestEvent.Refused(this.request.identifier(), refusal))
			.feed(new RequestEvent.Refused(this.request.identifier(), refusal));
		assertThat(this.run.outcomes()).containsExactly(refusal);
	}

	// A late refusal by another reducer must not report an order that was already sent as
	// "not run".
	@Test
	void refusalByAnotherReducerWhileAnAttemptRunsIsUnknown() {
		RequestOutcome refusal = new RequestOutcome.NotRun(Refusal.of(RefusalReason.OVERLOADED, "full"));
		this.run.clear(this.request, Idempotency.ONCE_WITH_KEY)
			.feed(new RequestEvent.Refused(this.request.identifier(), refusal));
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void endOfAnAbandonedAttemptIsIgnored() {
		this.run.clear(this.request, Idempotency.REPEATABLE);
		AttemptIdentifier first = this.run.lastAttempt();
		this.run.end(CONNECTION_LOST)
			.feed(new RequestEvent.AttemptEnded(first, 5, new AttemptResult.Completed(5, Optional.empty())));
		assertThat(this.run.outcomes()).isEmpty();
	}

	@Test
	void answerWithoutTokensByItsDeadlineIsAbandoned() {
		this.run.clear(this.request, Idempotency.REPEATABLE).advance(SampleRequests.DEADLINE);
		assertThat(this.run.outcomes()).hasSize(1).first().isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void startedAnswerMayExceedItsDeadline() {
		this.run.clear(this.request, Idempotency.REPEATABLE)
			.firstToken()
			.advance(SampleRequests.DEADLINE.multipliedBy(2));
		assertThat(this.run.outcomes()).isEmpty();
	}

	@Test
	void quarantinedRequestIsNotSent() {
		this.run.view().quarantine().add(this.request.fingerprint());
		this.run.clear(this.request, Idempotency.REPEATABLE);
		assertThat(this.run.starts()).isEmpty();
	}

	// All targets slow down and every request times out. Unlimited retries would triple
	// the load that slowed the targets down.
	@Test
	void retriesStopWhenTheRetryBudgetIsExhausted() {
		for (int number = 0; number < 100; number++) {
			this.run.clear(SampleRequests.request("n1", number, "c" + number), Idempotency.REPEATABLE)
				.end(STALLED)
				.advance(Duration.ofMillis(200));
		}
		assertThat(this.run.starts()).hasSizeBetween(120, 130);
	}

	@Test
	void stoppingNodeFinishesRequestsInFlight() {
		this.run.clear(this.request, Idempotency.REPEATABLE)
			.firstToken()
			.feed(new NodeEvent.StopRequested())
			.advance(Duration.ofMinutes(1));
		assertThat(this.run.effects()).doesNotContain(new NodeEffect.Exit());
		this.run.end(new AttemptResult.Completed(5, Optional.empty())).advance(Duration.ofSeconds(1));
		assertThat(this.run.effects()).contains(new NodeEffect.Exit());
	}

	@Test
	void idleStoppingNodeStaysForTheGracePeriod() {
		this.run.feed(new NodeEvent.StopRequested()).advance(Duration.ofSeconds(4));
		assertThat(this.run.effects()).isEmpty();
	}

	@Test
	void stoppingNodeLogsAbortedRequestsAtItsTimeLimit() {
		this.run.clear(this.request, Idempotency.REPEATABLE)
			.firstToken()
			.feed(new NodeEvent.StopRequested())
			.advance(Duration.ofMinutes(11));
		assertThat(RequestHarness.elementsOf(this.run.effects(), NodeEffect.WriteLog.class))
			.extracting((log) -> log.line().detail())
			.first()
			.asString()
			.startsWith("1 of 1: ");
	}

}
