package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests streams that have begun, whose target then sends nothing, and that are tried at a
 * second target beside it.
 */
class ParallelAttemptTests {

	private static final int FIRST = 1;

	private static final int SECOND = 2;

	private Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	private TargetName firstTarget;

	@BeforeEach
	void createDispatcher() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		this.dispatcher.updateRetryShare(new RetryShare(10, 4, 0));
		this.dispatcher.adopt(ServingSamples.configuration(1));
		this.directory.replaceAll(Stream.of("a", "b", "c").flatMap(ParallelAttemptTests::group).toList(), this.now);
	}

	private static Stream<TargetEntry> group(String name) {
		return Stream.of(ServingSamples.member(name + "1", "small." + name, 1, 0, MemberState.OPEN),
				ServingSamples.member(name + "2", "small." + name, 1, 1, MemberState.READY));
	}

	private List<EntryEffect> startSilentStream() {
		this.firstTarget = startStream();
		return reportSilent(this.firstTarget);
	}

	private TargetName startStream() {
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(1, "/stream/x"), this.now, this.now, effects);
		pass(Duration.ofMillis(200));
		this.dispatcher.handleFirstEvent(1, this.now);
		pass(Duration.ofMillis(500));
		return startedAt(effects.all());
	}

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	private List<EntryEffect> reportSilent(TargetName target) {
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(target, "one", this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> end(int attempt, AttemptEnd end) {
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptEnd(1, attempt, end, this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> prevail(int attempt) {
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptPrevailed(1, attempt, this.now, effects);
		return effects.all();
	}

	private static TargetName startedAt(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.findFirst()
			.orElseThrow();
	}

	private static List<String> ofStream(List<EntryEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof EntryEffect.AbortAnswer || effect instanceof EntryEffect.CancelAttempt
					|| effect instanceof EntryEffect.StartAttempt)
			.map((effect) -> effect.getClass().getSimpleName())
			.toList();
	}

	private int requestsInFlight() {
		return this.dispatcher.inFlightByTarget().values().stream().mapToInt(Integer::intValue).sum();
	}

	// Guards against an attempt that is given up before another one has taken its place.
	@Test
	void theSilentTargetKeepsTheStreamBesideTheSecondOne() {
		List<EntryEffect> effects = startSilentStream();
		assertThat(ofStream(effects)).containsExactly("StartAttempt");
		assertThat(startedAt(effects)).isNotEqualTo(this.firstTarget);
		assertThat(requestsInFlight()).isEqualTo(2);
	}

	// Guards against an answer cut because the second target doesn't run the stream.
	@ParameterizedTest
	@EnumSource(NotRunCause.class)
	void theStreamStaysWhereItWasIfTheSecondTargetDoesNotRunIt(NotRunCause cause) {
		startSilentStream();
		assertThat(ofStream(end(SECOND, new AttemptEnd.NotRun(cause)))).doesNotContain("AbortAnswer", "CancelAttempt");
		pass(Duration.ofMillis(100));
		this.dispatcher.handleAttemptEnd(1, FIRST, new AttemptEnd.Delivered(200, Duration.ZERO), this.now,
				Effects.create());
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// Guards against an answer cut because the second target's connection is reset.
	@Test
	void theStreamStaysWhereItWasIfTheSecondTargetIsLost() {
		startSilentStream();
		assertThat(ofStream(end(SECOND, new AttemptEnd.Broken("reset", true, true)))).isEmpty();
		assertThat(requestsInFlight()).isEqualTo(1);
	}

	// Guards against a retry, or an end, for a loss while the second target has the
	// stream.
	@Test
	void theStreamStaysAtTheSecondTargetIfTheSilentOneIsLost() {
		startSilentStream();
		assertThat(ofStream(end(FIRST, new AttemptEnd.Broken("reset", true, true)))).isEmpty();
		assertThat(requestsInFlight()).isEqualTo(1);
		end(SECOND, new AttemptEnd.Delivered(200, Duration.ZERO));
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// Guards against an answer that is kept open when both targets are lost.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void theAnswerIsCutOnceWhenBothTargetsAreLost(boolean firstIsLostFirst) {
		startSilentStream();
		end(firstIsLostFirst ? FIRST : SECOND, new AttemptEnd.Broken("reset", true, true));
		List<EntryEffect> effects = end(firstIsLostFirst ? SECOND : FIRST, new AttemptEnd.Broken("reset", true, true));
		assertThat(ofStream(effects)).containsExactly("AbortAnswer");
		assertThat(requestsInFlight()).isZero();
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// Guards against an attempt that goes on beside the one that has taken over.
	@ParameterizedTest
	@ValueSource(ints = { FIRST, SECOND })
	void theOtherAttemptIsCancelledWhenOneGoesOn(int prevailing) {
		startSilentStream();
		int other = FIRST + SECOND - prevailing;
		assertThat(prevail(prevailing)).contains(new EntryEffect.CancelAttempt(1, other));
		assertThat(requestsInFlight()).isEqualTo(1);
		assertThat(end(other, new AttemptEnd.Broken("late", true, true))).isEmpty();
		end(prevailing, new AttemptEnd.Delivered(200, Duration.ZERO));
		assertThat(requestsInFlight()).isZero();
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// Guards against more attempts than the route allows after one of two went on.
	@Test
	void bothAttemptsCountForTheMaximumOfTheRoute() {
		startSilentStream();
		prevail(FIRST);
		pass(Duration.ofMillis(700));
		assertThat(ofStream(reportSilent(this.firstTarget))).isEmpty();
		assertThat(ofStream(end(FIRST, new AttemptEnd.Broken("reset", true, true)))).containsExactly("AbortAnswer");
	}

	// Guards against a third attempt while two run.
	@Test
	void aSecondSilenceStartsNoThirdAttempt() {
		TargetName second = startedAt(startSilentStream());
		pass(Duration.ofMillis(700));
		assertThat(ofStream(reportSilent(second))).isEmpty();
		assertThat(ofStream(reportSilent(this.firstTarget))).isEmpty();
	}

	// Guards against an answer cut because the retry budget is used up.
	@Test
	void theStreamWaitsIfTheBudgetAllowsNoRetry() {
		this.dispatcher.updateRetryShare(RetryShare.NONE);
		assertThat(ofStream(startSilentStream())).isEmpty();
		assertThat(requestsInFlight()).isEqualTo(1);
	}

	// Guards against targets that work on for a caller that has left.
	@Test
	void bothAttemptsEndWithTheCaller() {
		startSilentStream();
		this.dispatcher.handleCallerDisconnected(1, false, this.now, Effects.create());
		assertThat(requestsInFlight()).isZero();
	}

	// Guards against attempts that go on after the deadline.
	@Test
	void bothAttemptsAreCancelledWhenTheTimeIsOver() {
		startSilentStream();
		pass(Duration.ofSeconds(6));
		Effects effects = Effects.create();
		this.dispatcher.handleTimeout(1, this.now, effects);
		assertThat(effects.all()).contains(new EntryEffect.CancelAttempt(1, FIRST),
				new EntryEffect.CancelAttempt(1, SECOND));
		assertThat(ofStream(effects.all())).contains("AbortAnswer");
		assertThat(requestsInFlight()).isZero();
	}

	private void reportStalled(boolean all, String... targets) {
		this.dispatcher.handleStalledTargets(
				new EntryEvent.TargetsStalled(Stream.of(targets).map(TargetName::of).collect(Collectors.toSet()), all),
				this.now);
	}

	// Guards against a second attempt at a target that is as silent as the first.
	@Test
	void theSecondAttemptGoesToNoStalledTarget() {
		this.firstTarget = startStream();
		String sound = Stream.of("a1", "b1", "c1")
			.filter((name) -> !name.equals(this.firstTarget.value()))
			.toList()
			.get(1);
		reportStalled(false, Stream.of("a1", "b1", "c1").filter((name) -> !name.equals(sound)).toArray(String[]::new));
		assertThat(startedAt(reportSilent(this.firstTarget))).isEqualTo(TargetName.of(sound));
	}

	// Guards against streams that change places among targets that all pause.
	@Test
	void theStreamWaitsForAWhileIfAllTargetsAreStalled() {
		this.firstTarget = startStream();
		reportStalled(true, this.firstTarget.value());
		assertThat(ofStream(reportSilent(this.firstTarget))).isEmpty();
		pass(Duration.ofSeconds(1));
		reportStalled(true, this.firstTarget.value());
		Effects effects = Effects.create();
		this.dispatcher.handleLastingSilence(this.firstTarget, this.now, effects);
		assertThat(ofStream(effects.all())).containsExactly("StartAttempt");
	}

	// Guards against a slow start long after the target has gone on.
	@Test
	void aTargetThatGoesOnIsAwayUntilThen() {
		TargetStatus status = new TargetStatus();
		status.ejectSilent(this.now, Duration.ofSeconds(2));
		pass(Duration.ofMillis(700));
		status.endSilence(this.now);
		assertThat(status.acceptsRequests(this.now)).isTrue();
		assertThat(status.awayUntil()).isEqualTo(this.now);
	}

	// Guards against new requests refused by targets that have gone on.
	@Test
	void aTargetThatGoesOnGetsRequestsAtOnce() {
		this.directory.replaceAll(group("a").toList(), this.now);
		startSilentStream();
		Effects refused = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(2, "/stream/x"), this.now, this.now, refused);
		assertThat(refused.all()).noneMatch(EntryEffect.StartAttempt.class::isInstance);
		this.dispatcher.handleResumedTarget(this.firstTarget, this.now);
		Effects started = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(3, "/stream/x"), this.now, this.now, started);
		assertThat(startedAt(started.all())).isEqualTo(this.firstTarget);
	}

}
