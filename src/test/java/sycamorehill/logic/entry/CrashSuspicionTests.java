package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that all nodes learn which contents crash targets.
 */
class CrashSuspicionTests {

	private static final CallerRequest CRASHING = ServingSamples.request(7, "/again/x");

	private static final Duration TICK = Duration.ofMillis(100);

	private Instant now = Instant.ofEpochSecond(1000);

	private EntryReducer start(String name) {
		EntryReducer started = EntryReducer.of(ServingSamples.settings(name), name + "#1", new Random(1), this.now);
		started.accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), this.now);
		started.accept(new EntryEvent.TargetsListed(
				List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2"), ServingSamples.plain("p3")), 10),
				this.now);
		started.accept(
				new EntryEvent.NodesListed(List.of(ServingSamples.node("one", 7101), ServingSamples.node("two", 7102))),
				this.now);
		return started;
	}

	private static void suspect(EntryReducer node, String target, Instant now) {
		node.accept(new EntryEvent.MessageReceived(
				new NodeMessage.Suspicion("two", CRASHING.contentHash(), TargetName.of(target))), now);
	}

	private static List<NodeMessage> suspicions(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.filter(NodeMessage.Suspicion.class::isInstance)
			.toList();
	}

	// A restarted process has forgotten which contents crash targets, and would let each
	// crash some more.
	@Test
	void aRestartedNodeRefusesAContentThatCrashesTargets() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3").forEach((target) -> suspect(one, target, this.now));
		EntryReducer restarted = start("two");
		List<EntryEffect> answers = one.accept(
				new EntryEvent.MessageReceived(new NodeMessage.Introduction(ServingSamples.node("two", 7102))),
				this.now);
		suspicions(answers).forEach((told) -> restarted.accept(new EntryEvent.MessageReceived(told), this.now));
		List<EntryEffect> effects = restarted.accept(new EntryEvent.RequestArrived(CRASHING), this.now);
		assertThat(effects).noneMatch(EntryEffect.StartAttempt.class::isInstance)
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503);
	}

	@Test
	void aNodeIsNotToldOfContentsThatServeAgain() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3").forEach((target) -> suspect(one, target, this.now));
		one.accept(new EntryEvent.MessageReceived(new NodeMessage.SuspicionCleared("two", CRASHING.contentHash())),
				this.now);
		assertThat(suspicions(one.accept(
				new EntryEvent.MessageReceived(new NodeMessage.Introduction(ServingSamples.node("two", 7102))),
				this.now)))
			.isEmpty();
	}

	// A node that missed the only message would let the content crash more targets.
	@Test
	void aSuspicionIsRepeatedInCaseItIsLost() {
		EntryReducer one = start("one");
		TargetName target = one.accept(new EntryEvent.RequestArrived(CRASHING), this.now)
			.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.findFirst()
			.orElseThrow();
		one.accept(new EntryEvent.AttemptEnded(7, 1, new AttemptEnd.Unknown("reset", true)), this.now);
		List<NodeMessage> told = new ArrayList<>();
		for (Instant end = this.now.plusSeconds(10); this.now.isBefore(end); this.now = this.now.plus(TICK)) {
			told.addAll(suspicions(one.accept(new EntryEvent.Ticked(), this.now)));
		}
		assertThat(told).hasSize(3).containsOnly(new NodeMessage.Suspicion("one", CRASHING.contentHash(), target));
	}

	private static CallerRequest crashing(long number) {
		CallerRequest sample = ServingSamples.request(number, "/again/x");
		return new CallerRequest(number, sample.identifier(), sample.host(), sample.path(), sample.apiKey(),
				sample.model(), sample.tokenCounts(), sample.timeLeft(), CRASHING.contentHash());
	}

	private List<EntryEffect> run(EntryReducer node, Duration duration) {
		List<EntryEffect> effects = new ArrayList<>();
		for (Instant end = this.now.plus(duration); this.now.isBefore(end);) {
			this.now = this.now.plusMillis(20);
			effects.addAll(node.accept(new EntryEvent.Ticked(), this.now));
		}
		return effects;
	}

	// All targets of a small service crash one after the other, so that the node reaches
	// none. It would take its path for lost, and forget which content ran on them.
	@Test
	void aContentThatCrashedAllTargetsOfAServiceIsRefusedWhenTheyAreBack() {
		EntryReducer one = start("one");
		for (int number = 1; number <= 3; number++) {
			one.accept(new EntryEvent.RequestArrived(crashing(number)), this.now);
			one.accept(new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Unknown("closed", true)), this.now);
			run(one, Duration.ofMillis(40));
		}
		List.of("p1", "p2", "p3")
			.forEach((target) -> one.accept(new EntryEvent.TargetUnreached(TargetName.of(target)), this.now));
		run(one, Duration.ofMillis(2500));
		List<TargetChange> restarts = Stream.of("p1", "p2", "p3")
			.flatMap((name) -> Stream.of(new TargetChange(TargetName.of(name), Optional.empty()),
					new TargetChange(TargetName.of(name + "b"), Optional.of(restarted(name)))))
			.toList();
		one.accept(new EntryEvent.TargetsChanged(restarts, 10, 11), this.now);
		one.accept(new EntryEvent.TargetConnected(TargetName.of("p1b")), this.now);
		run(one, Duration.ofMillis(300));
		assertThat(one.accept(new EntryEvent.RequestArrived(crashing(4)), this.now))
			.noneMatch(EntryEffect.StartAttempt.class::isInstance)
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503);
	}

	private static TargetEntry restarted(String name) {
		TargetEntry before = ServingSamples.plain(name);
		return new TargetEntry(TargetName.of(name + "b"), before.service(), before.address(), before.dataCentre(),
				before.slots(), false, 5_000, Optional.empty(), Set.of(), Optional.empty(), Optional.empty());
	}

}
