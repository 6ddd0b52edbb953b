package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.model.serving.PlacementExplanation.TargetView;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.support.ServingSamples;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what is explained of a placement, and that the explanation changes nothing.
 */
class PlacementExplainerTests {

	private Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		this.directory.replaceAll(List.of(TwoRegions.plain("n1", TwoRegions.NORTH),
				TwoRegions.plain("n2", TwoRegions.NORTH), TwoRegions.plain("s1", TwoRegions.SOUTH)), this.now);
		this.dispatcher = dispatcher();
	}

	private RequestDispatcher dispatcher() {
		RequestDispatcher created = RequestDispatcher.of(TwoRegions.settings("one"), this.directory, new Random(1));
		created.updateRetryShare(new RetryShare(10, 4, 0));
		created.adopt(TwoRegions.configuration(3, Set.of(TwoRegions.EAST), Set.of()));
		return created;
	}

	private PlacementExplanation explain(String path) {
		return this.dispatcher.explain(ServingSamples.request(-1, path), true, this.now);
	}

	private TargetView target(String name) {
		return explain("/again/x").targets()
			.stream()
			.filter((target) -> target.name().value().equals(name))
			.findFirst()
			.orElseThrow();
	}

	private void report(String target, TargetReport report) {
		this.dispatcher.handleTargetReport(new EntryEvent.TargetReported(0, TargetName.of(target), report), this.now,
				Effects.create());
	}

	private void rest(String target) {
		report(target, new TargetReport(Optional.empty(), Optional.empty(), Optional.of(Duration.ofSeconds(3)), false));
	}

	@Test
	void explainsTheChoiceAndWhyOthersAreLeftOut() {
		PlacementExplanation explanation = explain("/again/x");
		assertThat(explanation.node().region()).contains(TwoRegions.EAST);
		assertThat(explanation.configurationVersion()).isEqualTo(3);
		assertThat(explanation.choice().orElseThrow().target().orElseThrow().value()).startsWith("n");
		assertThat(explanation.choice().orElseThrow().onTime()).contains(true);
		assertThat(explanation.targets()).hasSize(3);
		assertThat(target("s1").leftOut()).contains("outside the home regions");
		assertThat(target("n1").leftOut()).isEmpty();
	}

	@Test
	void explainsLoadsWithTheirAge() {
		report("n1", new TargetReport(Optional.of(new EngineLoad(4, 1, 0)), Optional.empty(), Optional.empty(), false));
		this.now = this.now.plusMillis(700);
		assertThat(target("n1").load().requests()).isEqualTo(5);
		assertThat(target("n1").load().reportAge()).contains(Duration.ofMillis(700));
		assertThat(target("n2").load().reportAge()).isEmpty();
	}

	@Test
	void explainsRestsAndEjections() {
		rest("n1");
		this.dispatcher.handleSilentTarget(TargetName.of("n2"), "one", this.now, Effects.create());
		assertThat(target("n1").resting()).isEqualTo(Duration.ofSeconds(3));
		assertThat(target("n2").ejected()).isEqualTo(Duration.ofSeconds(2));
		assertThat(explain("/again/x").refusal().orElseThrow().cause())
			.isEqualTo("not run: no target can take it, home regions of the route [east]");
		rest("n2");
		assertThat(explain("/again/x").refusal().orElseThrow().cause()).endsWith(", all targets rest");
	}

	// The caller and the explanation must not tell different causes.
	@Test
	void aRefusalHasTheCauseThatTheCallerGets() {
		rest("n1");
		rest("n2");
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(1, "/again/x"), this.now, this.now, effects);
		EntryEffect.Answer answer = (EntryEffect.Answer) effects.all()
			.stream()
			.filter(EntryEffect.Answer.class::isInstance)
			.findFirst()
			.orElseThrow();
		assertThat(explain("/again/x").refusal())
			.contains(new PlacementExplanation.Refusal(answer.status(), answer.detail()));
	}

	@Test
	void explainsRateLimits() {
		report("n1", new TargetReport(Optional.empty(), Optional.of(new RequestRate(4)), Optional.empty(), false));
		assertThat(target("n1").limits()).singleElement().asString().startsWith("rate limit of 4.0 requests/s");
		assertThat(target("n1").leftOut()).contains("the rate limit of the target");
	}

	@Test
	void explainsARequestThatGoesThroughAnotherNode() {
		this.dispatcher.updateNodes(2, List.of(TwoRegions.node("two", TwoRegions.NORTH)), this.now, Effects.create());
		for (String target : List.of("n1", "n2", "s1")) {
			this.dispatcher.handleUnreached(TargetName.of(target), this.now, Effects.create());
		}
		assertThat(explain("/once/x").choice().orElseThrow().proxy()).contains("two");
		this.dispatcher.updateNodes(2, List.of(TwoRegions.node("two", TwoRegions.SOUTH)), this.now, Effects.create());
		assertThat(explain("/once/x").refusal().orElseThrow().cause())
			.isEqualTo("not run: no node of this region or of the home regions reaches a target, "
					+ "home regions of the route [east]");
	}

	@Test
	void explainsRefusalsWithoutARoute() {
		assertThat(explain("/nowhere/").refusal().orElseThrow().status()).isEqualTo(404);
		CallerRequest sample = ServingSamples.request(-1, "/once/x");
		CallerRequest unknown = new CallerRequest(-1, "x", sample.host(), sample.path(), Optional.of("other"),
				Optional.empty(), Optional.empty(), List.of(), Optional.empty(), 0);
		PlacementExplanation explanation = this.dispatcher.explain(unknown, true, this.now);
		assertThat(explanation.refusal().orElseThrow().status()).isEqualTo(401);
		assertThat(explanation.toString()).doesNotContain("other");
		assertThat(this.dispatcher.explain(sample, false, this.now).refusal().orElseThrow().cause())
			.isEqualTo("not run: this node stops");
		RequestDispatcher fresh = RequestDispatcher.of(TwoRegions.settings("one"), this.directory, new Random(1));
		assertThat(fresh.explain(sample, true, this.now).refusal().orElseThrow().cause())
			.isEqualTo("no configuration yet");
	}

	// A token that is taken, a random number that is drawn or a status that is created
	// changes where callers' requests go.
	@ParameterizedTest
	@ValueSource(ints = { 3, 40 })
	void explanationsChangeNoLaterDecision(int liveNodes) {
		List<EntryEffect> undisturbed = play(dispatcher(), liveNodes, false);
		List<EntryEffect> explained = play(dispatcher(), liveNodes, true);
		assertThat(explained).isEqualTo(undisturbed);
		assertThat(undisturbed).anyMatch(EntryEffect.StartAttempt.class::isInstance)
			.anyMatch(EntryEffect.StartProxiedAttempt.class::isInstance)
			.anyMatch(EntryEffect.Answer.class::isInstance);
	}

	private List<EntryEffect> play(RequestDispatcher player, int liveNodes, boolean explains) {
		Instant time = this.now;
		List<EntryEffect> all = new ArrayList<>();
		Random random = new Random(5);
		player.updateNodes(liveNodes,
				List.of(TwoRegions.node("two", TwoRegions.NORTH), TwoRegions.node("three", TwoRegions.NORTH)), time,
				Effects.create());
		List<String> paths = List.of("/once/x", "/again/x", "/stream/x");
		for (long number = 1; number <= 400; number++) {
			time = time.plusMillis(random.nextInt(30));
			String path = paths.get(random.nextInt(paths.size()));
			for (int question = 0; explains && question < 3; question++) {
				player.explain(ServingSamples.request(-1, path), true, time);
			}
			Effects effects = Effects.create();
			player.handleRequest(ServingSamples.request(number, path), time, time, effects);
			disturb(player, number, random, time, effects);
			player.tick(time, effects);
			all.addAll(effects.all());
		}
		return all;
	}

	private static void disturb(RequestDispatcher player, long number, Random random, Instant time, Effects effects) {
		TargetName target = TargetName.of(random.nextBoolean() ? "n1" : "n2");
		switch (random.nextInt(6)) {
			case 0 -> player.handleAttemptEnd(1 + random.nextInt((int) number), 1,
					new AttemptEnd.NotRun(NotRunCause.REFUSED), time, effects);
			case 1 -> player.handleTargetReport(
					new EntryEvent.TargetReported(0, target,
							new TargetReport(Optional.of(new EngineLoad(random.nextInt(8), 0, 0)),
									Optional.of(new RequestRate(1 + random.nextInt(40))), Optional.empty(), false)),
					time, effects);
			case 2 -> player.handleMessage(new NodeMessage.Loads("two", DataCentreName.of(TwoRegions.NORTH), true,
					Map.of(target, random.nextInt(7))), time, effects);
			case 3 -> {
				if (random.nextInt(8) == 0) {
					List.of("n1", "n2", "s1")
						.forEach((name) -> player.handleUnreached(TargetName.of(name), time, effects));
				}
				else {
					player.handleConnected(target, time, effects);
				}
			}
			default -> player.handleAttemptEnd(1 + random.nextInt((int) number), 1,
					new AttemptEnd.Delivered(200, Duration.ZERO), time, effects);
		}
	}

}
