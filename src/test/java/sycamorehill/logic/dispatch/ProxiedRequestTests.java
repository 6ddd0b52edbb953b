package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.model.serving.Workspace;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the node that has the caller, and the node through which its request is
 * sent, each decide.
 */
class ProxiedRequestTests {

	private Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		this.dispatcher.updateRetryShare(new RetryShare(10, 4, 0));
		this.dispatcher.adopt(ServingSamples.configuration(1));
		this.directory.replaceAll(List.of(ServingSamples.plain("p0"), ServingSamples.plain("p1"),
				ServingSamples.plain("p2"), ServingSamples.member("h0", "small.0", 1, 0, MemberState.OPEN),
				ServingSamples.member("m0", "small.0", 1, 1, MemberState.READY),
				ServingSamples.member("h1", "small.1", 1, 0, MemberState.OPEN),
				ServingSamples.member("m1", "small.1", 1, 1, MemberState.READY)), this.now);
		this.dispatcher.updateNodes(3, List.of(ServingSamples.node("two", 7100), ServingSamples.node("three", 7101)),
				this.now, Effects.create());
	}

	private void losePath() {
		Effects effects = Effects.create();
		for (String target : List.of("p0", "p1", "p2", "h0", "h1", "m0")) {
			this.dispatcher.paths().handleUnreached(TargetName.of(target), this.now, effects);
		}
	}

	private List<EntryEffect> arrive(long number, String path) {
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(number, path), this.now, this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> endProxied(long number, int attempt, String target, AttemptEnd end) {
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests()
			.handleAttemptEnd(new EntryEvent.ProxiedAttemptEnded(number, attempt,
					Optional.ofNullable(target).map(TargetName::of), end), this.now, effects);
		return effects.all();
	}

	private static <T extends EntryEffect> Stream<T> effects(List<EntryEffect> all, Class<T> type) {
		return all.stream().filter(type::isInstance).map(type::cast);
	}

	private static Optional<String> proxy(List<EntryEffect> all) {
		return effects(all, EntryEffect.StartProxiedAttempt.class).map((start) -> start.node().name()).findFirst();
	}

	private static EntryEffect.Answer answer(List<EntryEffect> all) {
		return effects(all, EntryEffect.Answer.class).findFirst().orElseThrow();
	}

	// What the caller may do is decided once, and with the time that is left.
	@Test
	void theOriginSendsItsDecisions() {
		losePath();
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(1, "/again/x"), this.now.minusMillis(400), this.now,
				effects);
		ProxiedRequest sent = effects(effects.all(), EntryEffect.StartProxiedAttempt.class).findFirst()
			.orElseThrow()
			.request();
		assertThat(sent.workspace()).contains(new Workspace(WorkspaceName.of("yard"), 1));
		assertThat(sent.service()).isEqualTo(ServingSamples.DESK);
		assertThat(sent.kind()).isEqualTo(RequestKind.IDEMPOTENT);
		assertThat(sent.timeout().minus(sent.elapsed())).isEqualTo(Duration.ofMillis(5600));
		assertThat(sent.anotherAttemptMayFollow()).isTrue();
	}

	// A target that refuses counts for the attempts and the retry budget as if this node
	// had sent the request itself.
	@Test
	void anOrderThatATargetRefusedIsNotSentAgain() {
		losePath();
		arrive(1, "/once/x");
		List<EntryEffect> effects = endProxied(1, 1, "p0", new AttemptEnd.NotRun(NotRunCause.REFUSED));
		assertThat(proxy(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(503);
	}

	@Test
	void anIdempotentRequestThatATargetRefusedIsSentToAnotherTarget() {
		losePath();
		arrive(1, "/again/x");
		List<EntryEffect> effects = endProxied(1, 1, "p0", new AttemptEnd.NotRun(NotRunCause.REFUSED));
		assertThat(effects(effects, EntryEffect.StartProxiedAttempt.class).findFirst()
			.orElseThrow()
			.request()
			.triedTargets()).containsExactly(TargetName.of("p0"));
	}

	// The way to the other node broke after the order was confirmed.
	@Test
	void anOrderWithAnUnknownOutcomeIsNeitherRepeatedNorRefused() {
		losePath();
		arrive(1, "/once/x");
		List<EntryEffect> effects = endProxied(1, 1, null, new AttemptEnd.Unknown("connection closed", false));
		assertThat(proxy(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(502);
	}

	@Test
	void anOrderThatANodeHasNotAcceptedGoesToAnotherNode() {
		losePath();
		String first = proxy(arrive(1, "/once/x")).orElseThrow();
		List<EntryEffect> effects = endProxied(1, 1, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE));
		assertThat(proxy(effects)).isPresent().isNotEqualTo(Optional.of(first));
		EntryEffect.Answer refused = answer(
				endProxied(1, 2, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)));
		assertThat(refused.status()).isEqualTo(503);
		assertThat(refused.retryAfter().orElseThrow()).isBetween(Duration.ofSeconds(1), Duration.ofMillis(1500));
	}

	// The other node was lost after it may have sent the request to a target.
	@Test
	void aRequestThatIsLostBehindAnotherNodeIsSentAgainOnlyAsARetry() {
		this.dispatcher.updateRetryShare(RetryShare.NONE);
		losePath();
		arrive(1, "/again/x");
		List<EntryEffect> effects = endProxied(1, 1, null, new AttemptEnd.Unknown("connection closed", false));
		assertThat(effects(effects, EntryEffect.RetryDecided.class).map(EntryEffect.RetryDecided::allowed))
			.containsExactly(false);
		assertThat(proxy(effects)).isEmpty();
		this.now = this.now.plusSeconds(2);
		arrive(2, "/again/x");
		assertThat(proxy(endProxied(2, 1, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)))).isPresent();
	}

	// Targets may rest or be left out at one node alone.
	@Test
	void aSecondNodeIsAskedWhenTheFirstHasNoTarget() {
		losePath();
		arrive(1, "/once/x");
		assertThat(proxy(endProxied(1, 1, null, new AttemptEnd.NotRun(NotRunCause.NO_TARGET)))).isPresent();
		EntryEffect.Answer refused = answer(endProxied(1, 2, null, new AttemptEnd.NotRun(NotRunCause.NO_TARGET)));
		assertThat(refused.retryAfter().orElseThrow()).isLessThan(Duration.ofSeconds(1));
	}

	@Test
	void streamsOfASilentNodeGoOnThroughAnother() {
		losePath();
		String first = proxy(arrive(1, "/stream/x")).orElseThrow();
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests().handleSilentNode(first, this.now, effects);
		assertThat(effects(effects.all(), EntryEffect.CancelAttempt.class)).isEmpty();
		assertThat(proxy(effects.all())).isPresent().isNotEqualTo(Optional.of(first));
		Effects later = Effects.create();
		this.dispatcher.handleAttemptPrevailed(1, 2, this.now, later);
		assertThat(later.all()).contains(new EntryEffect.CancelAttempt(1, 1));
	}

	@Test
	void aProxiedRequestIsCancelledWhenItsTimeIsOver() {
		losePath();
		arrive(1, "/once/x");
		Effects effects = Effects.create();
		this.dispatcher.handleTimeout(1, this.now.plusSeconds(6), effects);
		assertThat(effects.all()).contains(new EntryEffect.CancelAttempt(1, 1));
		assertThat(answer(effects.all()).status()).isEqualTo(504);
	}

	private static ProxiedRequest request(RequestKind kind, ServiceName service, Set<TargetName> tried) {
		return new ProxiedRequest("two", "a1", "r", kind, service, Optional.empty(), 1, Duration.ofMillis(300),
				Duration.ofSeconds(6), Duration.ofSeconds(6), Duration.ofMillis(5),
				kind.isStreaming() ? Optional.of("small") : Optional.empty(), Optional.empty(), List.of(), 7, tried,
				false, true, Set.of());
	}

	private List<EntryEffect> arriveFromOtherNode(long number, ProxiedRequest request) {
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests().handleArrival(number, request, true, this.now, effects);
		return effects.all();
	}

	private static ProxiedRequest order(String... tried) {
		return request(RequestKind.NON_IDEMPOTENT, ServingSamples.DESK,
				Stream.of(tried).map(TargetName::of).collect(Collectors.toSet()));
	}

	private static EntryEffect end(long number, String target, AttemptEnd end) {
		return new EntryEffect.EndProxiedRequest(number, Optional.ofNullable(target).map(TargetName::of), end);
	}

	// Two nodes without a path would send a request back and forth.
	@Test
	void aProxiedRequestIsNeverSentOn() {
		losePath();
		List<EntryEffect> effects = arriveFromOtherNode(1, order());
		assertThat(effects).contains(end(1, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)));
		assertThat(proxy(effects)).isEmpty();
	}

	@Test
	void aNodeThatDoesNotKnowTheServiceRefusesIt() {
		assertThat(arriveFromOtherNode(1, request(RequestKind.NON_IDEMPOTENT, ServiceName.of("newer"), Set.of())))
			.contains(end(1, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)));
	}

	@Test
	void aStoppingNodeRefusesProxiedRequests() {
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests().handleArrival(1, order(), false, this.now, effects);
		assertThat(effects.all()).contains(end(1, null, new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)));
	}

	// A target's rest is for the node whose connection it sees.
	@Test
	void aProxiedRequestGoesToNoTargetThatRestsHereOrWasTriedThere() {
		this.dispatcher.handleTargetReport(new EntryEvent.TargetReported(0, TargetName.of("p1"),
				new TargetReport(Optional.empty(), Optional.empty(), Optional.of(Duration.ofSeconds(3)), false)),
				this.now, Effects.create());
		for (long number = 1; number <= 5; number++) {
			assertThat(effects(arriveFromOtherNode(number, order("p0")), EntryEffect.StartAttempt.class)
				.map((start) -> start.target().name())).containsExactly(TargetName.of("p2"));
		}
		assertThat(arriveFromOtherNode(9, order("p0", "p2")))
			.contains(end(9, null, new AttemptEnd.NotRun(NotRunCause.NO_TARGET)));
	}

	// Only the origin knows whether another attempt is allowed.
	@ParameterizedTest
	@EnumSource(NotRunCause.class)
	void theProxyMakesOneAttemptAndReportsItsEnd(NotRunCause cause) {
		List<EntryEffect> started = arriveFromOtherNode(1, order());
		String target = effects(started, EntryEffect.StartAttempt.class).findFirst()
			.orElseThrow()
			.target()
			.name()
			.value();
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptEnd(1, 1, new AttemptEnd.NotRun(cause), this.now, effects);
		assertThat(effects.all()).contains(end(1, target, new AttemptEnd.NotRun(cause)))
			.noneMatch(EntryEffect.StartAttempt.class::isInstance)
			.noneMatch(EntryEffect.Answer.class::isInstance);
	}

	@Test
	void theProxyReportsAStreamThatItsTargetStalls() {
		List<EntryEffect> started = arriveFromOtherNode(1,
				request(RequestKind.RESUMABLE_STREAM, ServingSamples.ENGINES, Set.of()));
		TargetName target = effects(started, EntryEffect.StartAttempt.class).findFirst().orElseThrow().target().name();
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(target, "one", this.now, effects);
		assertThat(effects.all()).contains(new EntryEffect.CancelAttempt(1, 1),
				end(1, target.value(), new AttemptEnd.Broken("silent", true, false)));
	}

	// Guards against an answer cut because a proxy ends its attempt before the origin has
	// another place.
	@Test
	void theProxyKeepsAStreamThatItsTargetStallsAndTellsItsOrigin() {
		List<EntryEffect> started = arriveFromOtherNode(1,
				request(RequestKind.RESUMABLE_STREAM, ServingSamples.ENGINES, Set.of()).withStallReports(true));
		TargetName target = effects(started, EntryEffect.StartAttempt.class).findFirst().orElseThrow().target().name();
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(target, "one", this.now, effects);
		assertThat(effects.all()).contains(new EntryEffect.ReportProxiedStall(1, target))
			.noneMatch(EntryEffect.CancelAttempt.class::isInstance)
			.noneMatch(EntryEffect.EndProxiedRequest.class::isInstance);
	}

	// Guards against an origin that leaves the proxy's target for one that is as silent.
	@Test
	void theOriginTriesAnotherTargetBesideOneThatStallsBehindAProxy() {
		losePath();
		arrive(1, "/stream/x");
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests()
			.handleStalled(new EntryEvent.ProxiedAttemptStalled(1, 1, TargetName.of("h1")), this.now, effects);
		ProxiedRequest sent = effects(effects.all(), EntryEffect.StartProxiedAttempt.class).findFirst()
			.orElseThrow()
			.request();
		assertThat(sent.triedTargets()).containsExactly(TargetName.of("h1"));
		assertThat(sent.anotherAttemptMayFollow()).isFalse();
		List<EntryEffect> refused = endProxied(1, 2, "h0", new AttemptEnd.NotRun(NotRunCause.REFUSED));
		assertThat(effects(refused, EntryEffect.AbortAnswer.class)).isEmpty();
		assertThat(effects(refused, EntryEffect.CancelAttempt.class)).isEmpty();
	}

	// The stream would end at its caller, though its target may only be slow.
	@Test
	void theProxyLeavesAStreamAtAStalledTargetWhileNoOtherTargetAdmitsIt() {
		this.directory.replaceAll(List.of(ServingSamples.member("h0", "small.0", 1, 0, MemberState.OPEN),
				ServingSamples.member("m0", "small.0", 1, 1, MemberState.READY)), this.now);
		arriveFromOtherNode(1, request(RequestKind.RESUMABLE_STREAM, ServingSamples.ENGINES, Set.of()));
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(TargetName.of("h0"), "one", this.now, effects);
		assertThat(effects(effects.all(), EntryEffect.CancelAttempt.class)).isEmpty();
	}

	// A content that was lost with one target and answered by the next is not suspect,
	// and
	// only the proxy has seen both.
	@Test
	void theProxyClearsAContentThatIsAnswered() {
		arriveFromOtherNode(1, order());
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptEnd(1, 1, new AttemptEnd.Unknown("connection closed", true), this.now, effects);
		arriveFromOtherNode(2, order());
		this.dispatcher.handleAttemptEnd(2, 1, new AttemptEnd.Delivered(200, Duration.ZERO), this.now, effects);
		this.dispatcher.tick(this.now.plusMillis(300), effects);
		assertThat(effects.all()).noneMatch((effect) -> effect instanceof EntryEffect.Broadcast broadcast
				&& broadcast.message() instanceof NodeMessage.TargetLost);
	}

	@Test
	void theTargetIsFreeAgainWhenTheOriginLeaves() {
		List<EntryEffect> started = arriveFromOtherNode(1, order());
		TargetName target = effects(started, EntryEffect.StartAttempt.class).findFirst().orElseThrow().target().name();
		assertThat(this.dispatcher.countRequests(target, this.now)).isEqualTo(1);
		this.dispatcher.proxiedRequests().handleOriginDisconnected(1, this.now, Effects.create());
		assertThat(this.dispatcher.countRequests(target, this.now)).isZero();
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	// The service reports of other nodes that have no path must keep requests away from
	// them.
	@Test
	void aNodeThatReportedTheServiceAsUnreachableGetsNoRequest() {
		losePath();
		this.dispatcher.handleMessage(new NodeMessage.ServicesUnreachable("two", Set.of(ServingSamples.DESK)), this.now,
				Effects.create());
		for (long number = 1; number <= 5; number++) {
			assertThat(proxy(arrive(number, "/once/x"))).contains("three");
		}
	}

}
