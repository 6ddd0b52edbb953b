package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.model.serving.Workspace;
import sycamorehill.support.ServingSamples;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the body of a request goes only to targets in its home regions, and to nodes
 * there or in this node's region, on every path on which it leaves a node.
 */
class HomeRegionTests {

	private static final Set<RegionName> EAST = Set.of(TwoRegions.EAST);

	private static final Set<RegionName> WEST = Set.of(TwoRegions.WEST);

	private static final Set<RegionName> ALL = Set.of();

	private Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher = dispatcher();

	private RequestDispatcher dispatcher() {
		RequestDispatcher created = RequestDispatcher.of(TwoRegions.settings("one"), this.directory, new Random(1));
		created.updateRetryShare(new RetryShare(10, 4, 0));
		return created;
	}

	private void adopt(long version, Set<RegionName> ofRoutes, Set<RegionName> ofWorkspaces) {
		this.dispatcher.adopt(TwoRegions.configuration(version, ofRoutes, ofWorkspaces));
	}

	private void list(TargetEntry... entries) {
		this.directory.replaceAll(List.of(entries), this.now);
	}

	private void listPlain() {
		list(TwoRegions.plain("n1", TwoRegions.NORTH), TwoRegions.plain("n2", TwoRegions.NORTH),
				TwoRegions.plain("s1", TwoRegions.SOUTH), TwoRegions.plain("s2", TwoRegions.SOUTH),
				TwoRegions.plain("f1", TwoRegions.FAR));
	}

	private void listGroups(String... dataCentres) {
		Stream<TargetEntry> members = Stream.of();
		for (int index = 0; index < dataCentres.length; index++) {
			members = Stream.concat(members, TwoRegions.group(index + 1, dataCentres[index]));
		}
		this.directory.replaceAll(members.toList(), this.now);
	}

	private void listNodes(NodeRecord... peers) {
		this.dispatcher.updateNodes(1 + peers.length, List.of(peers), this.now, Effects.create());
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

	private void losePath(String... targets) {
		for (String target : targets) {
			this.dispatcher.handleUnreached(TargetName.of(target), this.now, Effects.create());
		}
	}

	private static <T extends EntryEffect> Stream<T> effects(List<EntryEffect> all, Class<T> type) {
		return all.stream().filter(type::isInstance).map(type::cast);
	}

	private static Optional<String> target(List<EntryEffect> all) {
		return effects(all, EntryEffect.StartAttempt.class).map((start) -> start.target().name().value()).findFirst();
	}

	private static Optional<String> proxy(List<EntryEffect> all) {
		return effects(all, EntryEffect.StartProxiedAttempt.class).map((start) -> start.node().name()).findFirst();
	}

	private static EntryEffect.Answer answer(List<EntryEffect> all) {
		return effects(all, EntryEffect.Answer.class).findFirst().orElseThrow();
	}

	// The targets in the region of the node are nearer, and would be chosen.
	@Test
	void aFirstAttemptGoesOnlyToAHomeRegionOfTheRoute() {
		listPlain();
		adopt(1, WEST, ALL);
		for (long number = 1; number <= 30; number++) {
			assertThat(target(arrive(number, "/once/x")).orElseThrow()).startsWith("s");
		}
	}

	@Test
	void aFirstAttemptGoesOnlyToAHomeRegionOfTheWorkspace() {
		listPlain();
		adopt(1, ALL, WEST);
		for (long number = 1; number <= 30; number++) {
			assertThat(target(arrive(number, "/once/x")).orElseThrow()).startsWith("s");
		}
	}

	// One list alone would let the request go to the other region.
	@Test
	void bothListsBind() {
		listPlain();
		adopt(1, Set.of(TwoRegions.EAST, TwoRegions.WEST), WEST);
		assertThat(target(arrive(1, "/once/x")).orElseThrow()).startsWith("s");
		adopt(2, WEST, Set.of(TwoRegions.EAST, TwoRegions.WEST));
		assertThat(target(arrive(2, "/once/x")).orElseThrow()).startsWith("s");
	}

	// Two lists without a common region must not be taken for the absence of lists.
	@Test
	void anEmptyIntersectionIsRefusedAtOnceWithBothListsInTheCause() {
		listPlain();
		adopt(1, EAST, WEST);
		List<EntryEffect> effects = arrive(1, "/once/x");
		assertThat(target(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(503);
		assertThat(answer(effects).detail()).startsWith("not run: ")
			.contains("home regions of the route [east]", "home regions of the workspace [west]");
		assertThat(this.dispatcher.activeRequests()).isZero();
	}

	@Test
	void aRequestWithoutATargetInItsHomeRegionIsRefusedAtOnceWithTheRegionInTheCause() {
		list(TwoRegions.plain("n1", TwoRegions.NORTH));
		adopt(1, WEST, ALL);
		List<EntryEffect> effects = arrive(1, "/once/x");
		assertThat(answer(effects).status()).isEqualTo(503);
		assertThat(answer(effects).detail())
			.isEqualTo("not run: no target can take it, home regions of the route [west]");
	}

	@Test
	void aTargetInADataCentreOfUnknownRegionIsInNoHome() {
		list(TwoRegions.plain("f1", TwoRegions.FAR));
		adopt(1, EAST, ALL);
		assertThat(target(arrive(1, "/once/x"))).isEmpty();
		adopt(2, ALL, ALL);
		assertThat(target(arrive(2, "/once/x"))).contains("f1");
	}

	@Test
	void aRetryStaysInTheHomeRegion() {
		listPlain();
		adopt(1, WEST, ALL);
		String first = target(arrive(1, "/again/x")).orElseThrow();
		List<EntryEffect> again = end(1, 1, new AttemptEnd.Unknown("connection closed", true));
		assertThat(target(again).orElseThrow()).startsWith("s").isNotEqualTo(first);
	}

	@Test
	void aRequestThatItsOnlyHomeTargetRefusesIsRefused() {
		list(TwoRegions.plain("n1", TwoRegions.NORTH), TwoRegions.plain("s1", TwoRegions.SOUTH));
		adopt(1, WEST, ALL);
		arrive(1, "/again/x");
		List<EntryEffect> effects = end(1, 1, new AttemptEnd.NotRun(NotRunCause.REFUSED));
		assertThat(target(effects)).isEmpty();
		assertThat(answer(effects).detail()).contains("home regions of the route [west]");
	}

	@Test
	void aStreamThatBreaksGoesOnInTheHomeRegionOnly() {
		listGroups(TwoRegions.SOUTH, TwoRegions.NORTH, TwoRegions.SOUTH);
		adopt(1, WEST, ALL);
		String first = target(arrive(1, "/stream/x")).orElseThrow();
		this.dispatcher.handleFirstEvent(1, this.now);
		String second = target(end(1, 1, new AttemptEnd.Broken("reset", true, true))).orElseThrow();
		assertThat(List.of(first, second)).containsExactlyInAnyOrder("h1", "h3");
	}

	@Test
	void aStreamThatBreaksIsNotResumedInAnotherRegion() {
		listGroups(TwoRegions.SOUTH, TwoRegions.NORTH);
		adopt(1, WEST, ALL);
		arrive(1, "/stream/x");
		this.dispatcher.handleFirstEvent(1, this.now);
		List<EntryEffect> effects = end(1, 1, new AttemptEnd.Broken("reset", true, true));
		assertThat(target(effects)).isEmpty();
		assertThat(effects).contains(new EntryEffect.AbortAnswer(1));
	}

	@Test
	void aStalledStreamMovesWithinTheHomeRegion() {
		listGroups(TwoRegions.SOUTH, TwoRegions.NORTH, TwoRegions.SOUTH);
		adopt(1, WEST, ALL);
		String first = target(arrive(1, "/stream/x")).orElseThrow();
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(TargetName.of(first), "one", this.now, effects);
		assertThat(target(effects.all())).contains("h1".equals(first) ? "h3" : "h1");
	}

	// A group in another region would take the stream.
	@Test
	void aStalledStreamStaysWhereItsHomeRegionHasNoOtherTarget() {
		listGroups(TwoRegions.SOUTH, TwoRegions.NORTH);
		adopt(1, WEST, ALL);
		arrive(1, "/stream/x");
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.handleSilentTarget(TargetName.of("h1"), "one", this.now, effects);
		this.dispatcher.handleGroupEnded(TargetName.of("h1"), "small.1", 1, this.now, effects);
		assertThat(effects.all()).noneMatch(EntryEffect.CancelAttempt.class::isInstance)
			.noneMatch(EntryEffect.StartAttempt.class::isInstance);
	}

	// The operator opens a region for later requests, and closes it for others.
	@Test
	void aRequestInFlightKeepsTheHomeRegionsOfItsArrival() {
		listPlain();
		adopt(1, WEST, ALL);
		arrive(1, "/again/x");
		adopt(2, EAST, ALL);
		assertThat(target(end(1, 1, new AttemptEnd.Unknown("connection closed", true))).orElseThrow()).startsWith("s");
		assertThat(target(arrive(2, "/again/x")).orElseThrow()).startsWith("n");
	}

	private void cutFromAllTargets() {
		listPlain();
		losePath("n1", "n2", "s1", "s2", "f1");
	}

	// The node in the other region reaches the targets in the home region, but must not
	// see the body.
	@Test
	void aRequestIsRefusedWhereOnlyANodeOfAnotherRegionReachesTheTargets() {
		cutFromAllTargets();
		listNodes(TwoRegions.node("far-off", TwoRegions.SOUTH), TwoRegions.node("unknown", TwoRegions.FAR));
		adopt(1, EAST, ALL);
		List<EntryEffect> effects = arrive(1, "/once/x");
		assertThat(proxy(effects)).isEmpty();
		assertThat(target(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(503);
		assertThat(answer(effects).detail()).contains("home regions of the route [east]");
		adopt(2, ALL, ALL);
		assertThat(proxy(arrive(2, "/once/x"))).isPresent();
	}

	@Test
	void aRequestIsSentThroughANodeOfThisRegionOrOfAHomeRegion() {
		cutFromAllTargets();
		adopt(1, WEST, ALL);
		listNodes(TwoRegions.node("near", TwoRegions.NORTH), TwoRegions.node("unknown", TwoRegions.FAR));
		assertThat(proxy(arrive(1, "/once/x"))).contains("near");
		listNodes(TwoRegions.node("home", TwoRegions.SOUTH), TwoRegions.node("unknown", TwoRegions.FAR));
		assertThat(proxy(arrive(2, "/once/x"))).contains("home");
	}

	// Without its own region a node can't tell which others are in it, except for those
	// in its data centre.
	@Test
	void aNodeOfUnknownRegionSendsRequestsThroughNodesOfItsDataCentre() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		cutFromAllTargets();
		adopt(1, WEST, ALL);
		listNodes(TwoRegions.node("other", TwoRegions.SOUTH));
		assertThat(proxy(arrive(1, "/once/x"))).isEmpty();
		listNodes(TwoRegions.node("other", TwoRegions.SOUTH), TwoRegions.node("near", TwoRegions.NORTH));
		assertThat(proxy(arrive(2, "/once/x"))).contains("near");
	}

	@Test
	void aRequestThatANodeHasNotAcceptedGoesToNoNodeOfAnotherRegion() {
		cutFromAllTargets();
		listNodes(TwoRegions.node("near", TwoRegions.NORTH), TwoRegions.node("other", TwoRegions.SOUTH));
		adopt(1, EAST, ALL);
		assertThat(proxy(arrive(1, "/once/x"))).contains("near");
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests()
			.handleAttemptEnd(new EntryEvent.ProxiedAttemptEnded(1, 1, Optional.empty(),
					new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)), this.now, effects);
		assertThat(proxy(effects.all())).isEmpty();
		assertThat(answer(effects.all()).status()).isEqualTo(503);
	}

	@Test
	void aStreamOfASilentNodeGoesOnThroughNoNodeOfAnotherRegion() {
		listGroups(TwoRegions.NORTH);
		losePath("h1", "m1");
		listNodes(TwoRegions.node("near", TwoRegions.NORTH), TwoRegions.node("other", TwoRegions.SOUTH));
		adopt(1, EAST, ALL);
		assertThat(proxy(arrive(1, "/stream/x"))).contains("near");
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests().handleSilentNode("near", this.now, effects);
		assertThat(proxy(effects.all())).isEmpty();
		assertThat(effects.all()).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
	}

	@Test
	void theOriginSendsBothListsOfHomeRegions() {
		cutFromAllTargets();
		listNodes(TwoRegions.node("near", TwoRegions.NORTH));
		adopt(1, Set.of(TwoRegions.EAST, TwoRegions.WEST), WEST);
		ProxiedRequest sent = effects(arrive(1, "/once/x"), EntryEffect.StartProxiedAttempt.class).findFirst()
			.orElseThrow()
			.request();
		assertThat(sent.homes()).isEqualTo(new HomeRegions(Set.of(TwoRegions.EAST, TwoRegions.WEST), WEST));
	}

	private List<EntryEffect> arriveFromOtherNode(long number, Set<RegionName> ofRoute, Set<RegionName> ofWorkspace) {
		ProxiedRequest request = new ProxiedRequest("two", "a1", "r", RequestKind.IDEMPOTENT, ServingSamples.DESK,
				Optional.of(new Workspace(WorkspaceName.of("yard"), 1, ofWorkspace)), 1, Duration.ofMillis(300),
				Duration.ofSeconds(6), Duration.ofSeconds(6), Duration.ofMillis(5), Optional.empty(), Optional.empty(),
				List.of(), 7, Set.of(), false, true, ofRoute);
		Effects effects = Effects.create();
		this.dispatcher.proxiedRequests().handleArrival(number, request, true, this.now, effects);
		return effects.all();
	}

	// The proxying node may have another configuration than the origin, or an older one.
	@Test
	void theProxyingNodeAppliesTheHomeRegionsOfTheOrigin() {
		listPlain();
		adopt(1, EAST, EAST);
		for (long number = 1; number <= 20; number += 2) {
			assertThat(target(arriveFromOtherNode(number, WEST, ALL)).orElseThrow()).startsWith("s");
			assertThat(target(arriveFromOtherNode(number + 1, ALL, WEST)).orElseThrow()).startsWith("s");
		}
	}

	@Test
	void theProxyingNodeReportsThatItHasNoTargetInTheHomeRegions() {
		listPlain();
		adopt(1, ALL, ALL);
		assertThat(arriveFromOtherNode(1, EAST, WEST)).contains(
				new EntryEffect.EndProxiedRequest(1, Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NO_TARGET)));
	}

	// The caller would be told to come back when a target rests that it never gets.
	@Test
	void aRestInAnotherRegionDoesNotDelayTheNextRequest() {
		list(TwoRegions.plain("n1", TwoRegions.NORTH));
		adopt(1, WEST, ALL);
		this.dispatcher.handleTargetReport(new EntryEvent.TargetReported(0, TargetName.of("n1"),
				new TargetReport(Optional.empty(), Optional.empty(), Optional.of(Duration.ofSeconds(30)), false)),
				this.now, Effects.create());
		assertThat(answer(arrive(1, "/once/x")).retryAfter().orElseThrow()).isLessThan(Duration.ofSeconds(1));
	}

	// A data centre gets its region by a reload of the settings.
	@Test
	void changedRegionsApplyToLaterAttempts() {
		list(TwoRegions.plain("f1", TwoRegions.FAR));
		adopt(1, WEST, ALL);
		assertThat(target(arrive(1, "/once/x"))).isEmpty();
		this.dispatcher.updateSettings(
				ServingSamples.settings("one").withRegions(Map.of(DataCentreName.of(TwoRegions.FAR), TwoRegions.WEST)));
		assertThat(target(arrive(2, "/once/x"))).contains("f1");
	}

}
