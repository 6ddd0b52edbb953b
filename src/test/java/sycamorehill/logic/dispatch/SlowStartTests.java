package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.WarmUp;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a target's slow start begins, grows, falls and ends, and when it yields.
 */
class SlowStartTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final int SLOTS = 12;

	private static final TargetName FIRST = TargetName.of("p0");

	private final TargetStatusRegistry statuses = TargetStatusRegistry.create();

	private final SlowStarts slowStarts = SlowStarts.of(ServingSamples.settings("a").toNodeRecord(), this.statuses);

	private static List<Candidate> candidates(int count, long startMillisOfFirst) {
		return IntStream.range(0, count)
			.mapToObj((index) -> candidate("p" + index, (index == 0) ? startMillisOfFirst : 1))
			.toList();
	}

	private static Candidate candidate(String name, long startMillis) {
		TargetEntry entry = ServingSamples.plain(name);
		return new Candidate(
				new TargetEntry(entry.name(), entry.service(), Address.of("127.0.0.1", 8000), entry.dataCentre(), SLOTS,
						false, startMillis, Optional.empty(), Set.of(), Optional.empty(), Optional.empty()),
				SLOTS, Optional.empty(), Optional.empty());
	}

	private static DispatchedRequest request(Optional<WarmUp> warmUp) {
		return DispatchedRequest.of(ServingSamples.request(1, "/again/1"),
				ServingSamples.configuration(1).routes().get(1),
				new ServiceParameters(ServingSamples.DESK, 96, Optional.empty(), warmUp), Optional.empty(), START);
	}

	private List<Candidate> filter(List<Candidate> candidates, Duration since) {
		DispatchedRequest request = request(Optional.of(new WarmUp(Duration.ofSeconds(3), 26)));
		this.slowStarts.observe(candidates, request, START.plus(since));
		return this.slowStarts.filter(candidates, request, START.plus(since));
	}

	private void tick(Duration since) {
		this.slowStarts.tick(START.plus(since), Effects.create());
	}

	private void setPeers(int count) {
		List<NodeRecord> peers = new ArrayList<>();
		IntStream.range(0, count).forEach((index) -> peers.add(ServingSamples.node("n" + index, 9000 + index)));
		this.slowStarts.updateNodes(peers);
	}

	private void send(int requests) {
		IntStream.range(0, requests).forEach((index) -> this.statuses.getOrCreate(FIRST).recordSent(SLOTS));
	}

	private void beginWithNewProcess() {
		filter(candidates(4, 1), Duration.ZERO);
		filter(candidates(4, 2), Duration.ZERO);
		tick(Duration.ZERO);
	}

	@Test
	void aNewProcessReceivesAQuarterOfItsSlotsAtFirst() {
		beginWithNewProcess();
		assertThat(this.slowStarts.level(FIRST)).contains(3.0);
		send(2);
		assertThat(filter(candidates(4, 2), Duration.ZERO)).hasSize(4);
		send(1);
		assertThat(filter(candidates(4, 2), Duration.ZERO)).hasSize(3);
	}

	@Test
	void targetsOfTheFirstRequestAreNotNew() {
		filter(candidates(4, 1), Duration.ZERO);
		assertThat(this.slowStarts.count()).isZero();
	}

	@Test
	void aTargetWithoutWarmUpHasNoSlowStart() {
		for (int startMillis = 1; startMillis <= 2; startMillis++) {
			DispatchedRequest request = request(Optional.empty());
			this.slowStarts.observe(candidates(4, startMillis), request, START);
			this.slowStarts.filter(candidates(4, startMillis), request, START);
		}
		assertThat(this.slowStarts.count()).isZero();
	}

	// A penalty for the failure would keep the target idle in its slow start.
	@Test
	void aTargetThatReturnsFromAnEjectionBeginsAnewWithoutItsFailures() {
		filter(candidates(4, 1), Duration.ZERO);
		this.statuses.getOrCreate(FIRST).recordFailure(START);
		filter(candidates(4, 1), Duration.ofMillis(249));
		assertThat(this.slowStarts.count()).isZero();
		filter(candidates(4, 1), Duration.ofMillis(250));
		assertThat(this.slowStarts.isActive(FIRST)).isTrue();
		assertThat(this.statuses.getOrCreate(FIRST).failureRate()).isZero();
	}

	// A refusal of a full target ejects it for some milliseconds only.
	@Test
	void aFullTargetDoesNotBeginAnew() {
		filter(candidates(4, 1), Duration.ZERO);
		this.statuses.getOrCreate(FIRST).eject(START, Duration.ofMillis(60));
		filter(candidates(4, 1), Duration.ofMillis(60));
		assertThat(this.slowStarts.count()).isZero();
	}

	@Test
	void aTargetThatHasRestedBeginsAnew() {
		filter(candidates(4, 1), Duration.ZERO);
		this.statuses.getOrCreate(FIRST).rest(START, Duration.ofSeconds(1));
		filter(candidates(4, 1), Duration.ofSeconds(1));
		assertThat(this.slowStarts.isActive(FIRST)).isTrue();
	}

	@Test
	void aTargetThatHasWarmedUpGoesOnFromTheLoadThatItCarries() {
		filter(candidates(4, 1), Duration.ZERO);
		send(7);
		this.slowStarts.handleWarm(FIRST, START);
		assertThat(this.slowStarts.level(FIRST)).contains(7.0);
	}

	@Test
	void itYieldsWhileHalfOfTheTargetsAreInSlowStart() {
		List<Candidate> two = candidates(2, 2);
		filter(candidates(2, 1), Duration.ZERO);
		filter(two, Duration.ZERO);
		tick(Duration.ZERO);
		send(12);
		assertThat(filter(two, Duration.ZERO)).isEqualTo(two);
	}

	// Without a request, no answer would end it.
	@Test
	void itEndsWithoutAnyAnswer() {
		beginWithNewProcess();
		for (int millis = 100; millis <= 6000; millis += 100) {
			tick(Duration.ofMillis(millis));
		}
		assertThat(this.slowStarts.count()).isZero();
	}

	// Otherwise a target that is slow for good would never carry its share.
	@Test
	void itEndsAlthoughAnswersStayLate() {
		SlowStart slow = SlowStart.begin(SLOTS, 0, START);
		for (int seconds = 0; seconds < 30; seconds++) {
			slow.recordOverload(START.plusSeconds(seconds));
			assertThat(slow.isOver(START.plusSeconds(seconds))).isFalse();
			assertThat(slow.level()).isGreaterThanOrEqualTo(1);
		}
		assertThat(slow.isOver(START.plusSeconds(30))).isTrue();
	}

	// All nodes see the same empty target in the same report.
	@ParameterizedTest
	@ValueSource(ints = { 6, 85, 300 })
	void allNodesTogetherBeginWithTwiceTheLevelAtMost(int nodes) {
		SlowStart slow = SlowStart.begin(SLOTS, 0, START);
		int all = IntStream.range(0, nodes).map((place) -> slow.part(nodes, place)).sum();
		assertThat(all).isEqualTo(6);
	}

	@Test
	void aNodeBehindTheFirstSendsNothingAtFirst() {
		setPeers(299);
		beginWithNewProcess();
		assertThat(filter(candidates(4, 2), Duration.ZERO)).as("by its place among 300 nodes").hasSize(3);
	}

	@Test
	void theLevelDoublesWithTheLoadThatWasCarried() {
		SlowStart slow = SlowStart.begin(SLOTS, 0, START);
		slow.step(3, START.plusMillis(400));
		slow.step(3, START.plusMillis(800));
		assertThat(slow.level()).isGreaterThanOrEqualTo(6);
		assertThat(slow.level()).isLessThan(9);
	}

	@Test
	void refusalsAndLateAnswersHalveTheLevelOnceASecond() {
		SlowStart slow = SlowStart.begin(SLOTS, 8, START);
		slow.recordOverload(START);
		slow.recordOverload(START.plusMillis(999));
		assertThat(slow.level()).isEqualTo(4);
		slow.recordOverload(START.plusSeconds(1));
		assertThat(slow.level()).isEqualTo(2);
	}

	@Test
	void waitingRequestsLowerTheLevelToWhatRuns() {
		SlowStart slow = SlowStart.begin(SLOTS, 8, START);
		slow.recordReport(new EngineLoad(7, 1, SLOTS), START);
		assertThat(slow.level()).as("one may wait for the next step").isEqualTo(8);
		slow.recordReport(new EngineLoad(4, 3, SLOTS), START);
		assertThat(slow.level()).isEqualTo(4);
	}

	// Callers need the first event within the route's latency target, here 300 ms.
	@Test
	void answersThatAreLateForTheirCallersLowerTheLevel() {
		beginWithNewProcess();
		DispatchedRequest request = request(Optional.empty());
		request.startAttempt(candidate("p0", 2).entry(), Duration.ofMillis(130), START);
		this.slowStarts.recordFirstAnswer(request, FIRST, Duration.ofMillis(250), START);
		assertThat(this.slowStarts.level(FIRST)).contains(3.0);
		this.slowStarts.recordFirstAnswer(request, FIRST, Duration.ofMillis(190), START);
		assertThat(this.slowStarts.level(FIRST)).contains(4.0);
		this.slowStarts.recordFirstAnswer(request, FIRST, Duration.ofMillis(301), START);
		assertThat(this.slowStarts.level(FIRST)).contains(2.0);
	}

}
