package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no kind of attempt is sent to a target in an evacuated data centre. Targets
 * p1 and h1 are in the north, p2 and h2 in the south.
 */
class EvacuationFilterTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final DataCentreName SOUTH = DataCentreName.of("south");

	private static final int REQUESTS = 20;

	private final Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		this.dispatcher.updateRetryShare(new RetryShare(10, 4, 0));
		this.dispatcher.adopt(ServingSamples.configuration(1));
		this.directory.replaceAll(List.of(ServingSamples.plain("p1"), inSouth(ServingSamples.plain("p2")),
				ServingSamples.member("h1", "small.1", 1, 0, MemberState.OPEN),
				ServingSamples.member("m1", "small.1", 1, 1, MemberState.READY),
				inSouth(ServingSamples.member("h2", "small.2", 1, 0, MemberState.OPEN)),
				inSouth(ServingSamples.member("m2", "small.2", 1, 1, MemberState.READY))), this.now);
		this.dispatcher.updateNodes(3, List.of(ServingSamples.node("two", 7100), ServingSamples.node("three", 7101)),
				this.now, Effects.create());
	}

	private static TargetEntry inSouth(TargetEntry target) {
		return new TargetEntry(target.name(), target.service(), target.address(), SOUTH, target.slots(), false, 1,
				target.domain().map((domain) -> domain + "-south"), target.staged(), target.loaded(),
				target.membership());
	}

	private void evacuate(DataCentreName... dataCentres) {
		this.directory.updateEvacuated(Set.of(dataCentres));
	}

	private List<EntryEffect> arrive(long number, String path) {
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(number, path), this.now, this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> end(long number, int attempt, AttemptEnd end) {
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptEnd(number, attempt, end, this.now, effects);
		return effects.all();
	}

	private static List<String> targets(List<EntryEffect> effects) {
		return effects(effects, EntryEffect.StartAttempt.class).map((start) -> start.target().name().value()).toList();
	}

	private static EntryEffect.Answer answer(List<EntryEffect> effects) {
		return effects(effects, EntryEffect.Answer.class).findFirst().orElseThrow();
	}

	private static <T extends EntryEffect> Stream<T> effects(List<EntryEffect> all, Class<T> type) {
		return all.stream().filter(type::isInstance).map(type::cast);
	}

	// Requests prefer no data centre strongly enough to avoid one by themselves.
	@Test
	void firstAttemptsGoOnlyToOtherDataCentresUntilTheEvacuationEnds() {
		evacuate(NORTH);
		List<String> used = new ArrayList<>();
		for (long number = 1; number <= REQUESTS; number++) {
			used.addAll(targets(arrive(number, (number % 2 == 0) ? "/again/x" : "/stream/x")));
			end(number, 1, new AttemptEnd.Delivered(200, Duration.ZERO));
		}
		assertThat(used).containsOnly("p2", "h2").hasSize(REQUESTS);
		evacuate();
		assertThat(Stream.iterate(100L, (number) -> number + 1)
			.limit(REQUESTS)
			.flatMap((number) -> targets(arrive(number, "/again/x")).stream())).contains("p1");
	}

	// The first target refuses a request after the other one's data centre was evacuated.
	@Test
	void aRetryGoesToNoEvacuatedDataCentre() {
		evacuate(NORTH);
		assertThat(targets(arrive(1, "/again/x"))).containsExactly("p2");
		List<EntryEffect> effects = end(1, 1, new AttemptEnd.NotRun(NotRunCause.REFUSED));
		assertThat(targets(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(503);
	}

	// The evacuation begins while the stream runs: it goes on, also at a silent target,
	// rather than move to an evacuated data centre.
	@Test
	void aStreamUnderWayGoesOnAndIsNeverMovedToAnEvacuatedDataCentre() {
		evacuate(NORTH);
		assertThat(targets(arrive(1, "/stream/x"))).containsExactly("h2");
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(TargetName.of("h2"), "one", this.now, effects);
		assertThat(targets(effects.all())).isEmpty();
		assertThat(effects.all()).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
		evacuate(NORTH, SOUTH);
		Effects later = Effects.create();
		this.dispatcher.tick(this.now.plusSeconds(1), later);
		assertThat(later.all()).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
		assertThat(this.dispatcher.activeRequests()).isEqualTo(1);
	}

	@Test
	void aBrokenStreamIsResumedInAnotherDataCentre() {
		evacuate(NORTH);
		assertThat(targets(arrive(1, "/stream/x"))).containsExactly("h2");
		this.dispatcher.handleFirstEvent(1, this.now);
		evacuate(SOUTH);
		assertThat(targets(end(1, 1, new AttemptEnd.Broken("lost", true, true)))).containsExactly("h1");
	}

	@Test
	void aRequestOfAnotherNodeGoesToNoEvacuatedDataCentre() {
		evacuate(SOUTH);
		assertThat(targets(arriveFromOtherNode(1))).containsExactly("p1");
		evacuate(NORTH, SOUTH);
		assertThat(arriveFromOtherNode(2)).contains(
				new EntryEffect.EndProxiedRequest(2, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NO_TARGET)));
	}

	private List<EntryEffect> arriveFromOtherNode(long number) {
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests()
			.handleArrival(number,
					new ProxiedRequest("two", "a1", "r", RequestKind.IDEMPOTENT, ServingSamples.DESK, Optional.empty(),
							1, Duration.ofMillis(300), Duration.ofSeconds(6), Duration.ofSeconds(6),
							Duration.ofMillis(5), Optional.empty(), Optional.empty(), List.of(), 7, Set.of(), false,
							true, Set.of()),
					true, this.now, effects);
		return effects.all();
	}

	@Test
	void requestsAreRefusedAtOnceWhileAllDataCentresAreEvacuated() {
		evacuate(NORTH, SOUTH);
		List<EntryEffect> effects = arrive(1, "/once/x");
		assertThat(targets(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(503);
		assertThat(answer(effects).detail()).isEqualTo("not run: all data centres are evacuated");
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// Another node would refuse it as well.
	@Test
	void aNodeWithoutAPathAsksNoOtherNodeWhileAllDataCentresAreEvacuated() {
		for (String target : List.of("p1", "p2")) {
			this.dispatcher.paths().handleUnreached(TargetName.of(target), this.now, Effects.create());
		}
		evacuate(NORTH, SOUTH);
		List<EntryEffect> effects = arrive(1, "/once/x");
		assertThat(effects).noneMatch(EntryEffect.StartProxiedAttempt.class::isInstance);
		assertThat(answer(effects).detail()).contains("all data centres are evacuated");
	}

	@Test
	void theCauseNamesTheDataCentresIfOnlyTheyHaveTargetsOfTheService() {
		this.directory.replaceAll(List.of(ServingSamples.plain("p1")), this.now);
		evacuate(NORTH);
		assertThat(answer(arrive(1, "/once/x")).detail())
			.isEqualTo("not run: all data centres with targets for it are evacuated: [north]");
	}

	// The targets there may be switched off: their failures would count against the path.
	@Test
	void thePathIsTestedAtNoTargetInAnEvacuatedDataCentre() {
		this.directory.replaceAll(List.of(ServingSamples.plain("p1"), inSouth(ServingSamples.plain("p2")),
				inSouth(ServingSamples.plain("p3")), inSouth(ServingSamples.plain("p4"))), this.now);
		evacuate(NORTH);
		Effects effects = Effects.create();
		this.dispatcher.paths().handleUnreached(TargetName.of("p2"), this.now, effects);
		this.dispatcher.paths().handleUnreached(TargetName.of("p3"), this.now, effects);
		assertThat(effects(effects.all(), EntryEffect.ProbeTargets.class).flatMap((probe) -> probe.targets().stream())
			.map((target) -> target.name().value())).isNotEmpty().doesNotContain("p1");
	}

}
