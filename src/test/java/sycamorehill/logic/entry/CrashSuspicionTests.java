package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.support.CrashMessages;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that all nodes learn which contents crash targets.
 */
class CrashSuspicionTests {

	private static final CallerRequest CRASHING = ServingSamples.request(7, "/again/x");

	private static final TargetReport NO_REPORT = new TargetReport(Optional.empty(), Optional.empty(), Optional.empty(),
			false);

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
				CrashMessages.crash("two", ServingSamples.plain(target), CRASHING.traits())), now);
	}

	private static List<NodeMessage> suspicions(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.filter(NodeMessage.TargetLost.class::isInstance)
			.toList();
	}

	private static List<Set<RequestTrait>> traits(NodeMessage.TargetLost lost) {
		return lost.requests().stream().map(LostRequest::traits).toList();
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
		one.accept(new EntryEvent.MessageReceived(CrashMessages.sound("two", CRASHING.traits())), this.now);
		assertThat(suspicions(one.accept(
				new EntryEvent.MessageReceived(new NodeMessage.Introduction(ServingSamples.node("two", 7102))),
				this.now)))
			.isEmpty();
	}

	// A node that missed the only message would let the content crash more targets.
	@Test
	void aSuspicionIsRepeatedInCaseItIsLost() {
		EntryReducer one = start("one");
		TargetName target = startedAt(one.accept(new EntryEvent.RequestArrived(CRASHING), this.now));
		one.accept(new EntryEvent.AttemptEnded(7, 1, new AttemptEnd.Unknown("reset", true)), this.now);
		List<NodeMessage> told = new ArrayList<>();
		for (Instant end = this.now.plusSeconds(10); this.now.isBefore(end); this.now = this.now.plus(TICK)) {
			told.addAll(suspicions(one.accept(new EntryEvent.Ticked(), this.now)));
		}
		assertThat(told).allSatisfy((message) -> assertThat((NodeMessage.TargetLost) message)
			.returns(TargetIncarnation.of(ServingSamples.plain(target.value())), NodeMessage.TargetLost::target)
			.returns(List.of(CRASHING.traits()), CrashSuspicionTests::traits));
		assertThat(told).filteredOn((message) -> ((NodeMessage.TargetLost) message).crashed())
			.hasSizeBetween(3, 3 + 10 * 2);
	}

	private static CallerRequest crashing(long number) {
		return repeat(CRASHING, number);
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
		loseTargets(one, 3);
		losePath(one);
		run(one, Duration.ofMillis(2500));
		restartTargets(one, "p1", "p2", "p3");
		run(one, Duration.ofMillis(300));
		assertThat(refuses(one, 4)).isTrue();
	}

	// A node is killed before it has decided whether targets have crashed; the others
	// would
	// not know with what it lost them.
	@Test
	void whatAKilledNodeHadNotDecidedIsKnownToTheOthers() {
		List<NodeMessage> told = loseTargets(start("one"), 3);
		EntryReducer two = start("two");
		told.forEach((message) -> two.accept(new EntryEvent.MessageReceived(message), this.now));
		assertThat(refuses(two, 10)).isFalse();
		two.accept(new EntryEvent.CallerDisconnected(10, false), this.now);
		restartTargets(two, "p1", "p2", "p3");
		assertThat(refuses(two, 11)).isTrue();
	}

	// A path breaks and comes back: the targets that were lost with it answer, and their
	// entries end for other reasons much later.
	@Test
	void targetsThatAnswerAgainCountForNothing() {
		EntryReducer one = start("one");
		List<NodeMessage> told = loseTargets(one, 3);
		losePath(one);
		run(one, Duration.ofSeconds(2));
		one.accept(new EntryEvent.TargetConnected(TargetName.of("p1")), this.now);
		for (int number = 21; number <= 23; number++) {
			List<EntryEffect> effects = one.accept(new EntryEvent.RequestArrived(sound(number)), this.now);
			TargetName target = startedAt(effects);
			one.accept(new EntryEvent.TargetReported(number, target, NO_REPORT), this.now);
		}
		told = Stream.concat(told.stream(), suspicions(run(one, Duration.ofMillis(1200))).stream()).toList();
		restartTargets(one, "p1", "p2", "p3");
		run(one, Duration.ofMillis(300));
		assertThat(refuses(one, 30)).isFalse();
		assertThat(told).noneMatch((message) -> ((NodeMessage.TargetLost) message).crashed());
	}

	// A content runs on two targets at once, crashes one, and had begun to run on the
	// other
	// before that.
	@Test
	void anAnswerThatBeganBeforeACrashClearsNothing() {
		EntryReducer one = start("one");
		one.accept(new EntryEvent.RequestArrived(crashing(20)), this.now);
		this.now = this.now.plusMillis(10);
		loseTargets(one, 2);
		one.accept(new EntryEvent.AttemptEnded(20, 1, new AttemptEnd.Delivered(200, Duration.ZERO)), this.now);
		run(one, Duration.ofMillis(1500));
		suspect(one, "p9", this.now);
		assertThat(refuses(one, 30)).isTrue();
	}

	// Connections are reset while the targets live on.
	@Test
	void targetsThatAcceptConnectionsHaveNotCrashed() {
		EntryReducer one = start("one");
		for (int number = 1; number <= 3; number++) {
			TargetName target = startedAt(one.accept(new EntryEvent.RequestArrived(crashing(number)), this.now));
			one.accept(new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Unknown("Connection reset", true)),
					this.now);
			this.now = this.now.plusMillis(10);
			one.accept(new EntryEvent.TargetConnected(target), this.now);
			run(one, Duration.ofMillis(500));
		}
		run(one, Duration.ofMillis(1500));
		assertThat(refuses(one, 9)).isFalse();
	}

	// The answer that shows a content to be sound overtakes the news of the loss.
	@Test
	void aLossThatIsToldAfterALaterAnswerCountsForNothing() {
		EntryReducer one = start("one");
		List<NodeMessage> told = Stream.of("p1", "p2", "p3")
			.<NodeMessage>map((name) -> CrashMessages.crash("two", ServingSamples.plain(name), CRASHING.traits()))
			.toList();
		one.accept(new EntryEvent.MessageReceived(CrashMessages.sound("two", CRASHING.traits())), this.now);
		told.forEach((message) -> one.accept(new EntryEvent.MessageReceived(message), this.now));
		assertThat(refuses(one, 30)).isFalse();
	}

	private static void deliver(List<EntryEffect> effects, EntryReducer receiver, Instant now) {
		effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.forEach((message) -> receiver.accept(new EntryEvent.MessageReceived(message), now));
	}

	// Kills between the crashes would hide them for good if a new process knew only of
	// contents that are refused already.
	@Test
	void aRestartedNodeKnowsOfFewerCrashesThanRefuseAContent() {
		EntryReducer one = start("one");
		List.of("p1", "p2").forEach((target) -> suspect(one, target, this.now));
		EntryReducer restarted = start("two");
		deliver(one.accept(
				new EntryEvent.MessageReceived(new NodeMessage.Introduction(ServingSamples.node("two", 7102))),
				this.now), restarted, this.now);
		suspect(restarted, "p3", this.now);
		assertThat(refuses(restarted, 30)).isTrue();
	}

	// Two nodes are cut off from each other while a content crashes targets at both, too
	// few at each of them to refuse it.
	@Test
	void nodesThatWereCutOffFromEachOtherAddUpTheirCrashes() {
		EntryReducer one = start("one");
		EntryReducer two = start("two");
		List.of("p1", "p2").forEach((target) -> suspect(one, target, this.now));
		suspect(two, "p3", this.now);
		run(one, Duration.ofSeconds(5));
		for (Instant end = this.now.plusSeconds(3); this.now.isBefore(end);) {
			this.now = this.now.plusMillis(20);
			deliver(one.accept(new EntryEvent.Ticked(), this.now), two, this.now);
			deliver(two.accept(new EntryEvent.Ticked(), this.now), one, this.now);
		}
		assertThat(refuses(one, 30)).isTrue();
		assertThat(refuses(two, 31)).isTrue();
	}

	// Contents that ran on a crashed target and never come again would be told for as
	// long
	// as they are kept.
	@Test
	void lossesWithoutNewRequestsAreToldRarely() {
		EntryReducer one = start("one");
		IntStream.range(0, 40).forEach((number) -> suspect(one, "q" + number, this.now));
		run(one, Duration.ofSeconds(20));
		assertThat(suspicions(run(one, Duration.ofSeconds(60)))).hasSizeLessThanOrEqualTo(60 / 5 * 8);
	}

	private long countStarts(EntryReducer node, int firstNumber, Duration duration) {
		long starts = 0;
		int number = firstNumber;
		for (Instant end = this.now.plus(duration); this.now.isBefore(end);) {
			this.now = this.now.plusSeconds(1);
			node.accept(new EntryEvent.Ticked(), this.now);
			starts += node.accept(new EntryEvent.RequestArrived(crashing(number++)), this.now)
				.stream()
				.filter(EntryEffect.StartAttempt.class::isInstance)
				.count();
		}
		return starts;
	}

	// A refusal would never end, right or wrong, as no such request runs any more.
	@Test
	void oneOfTheRefusedRequestsRunsAfterTenMinutes() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3").forEach((target) -> suspect(one, target, this.now));
		assertThat(countStarts(one, 1000, Duration.ofMinutes(10))).isZero();
		assertThat(countStarts(one, 2000, Duration.ofMinutes(9))).isOne();
	}

	// Each trial of a content that still crashes targets costs one.
	@Test
	void trialsBecomeRarerWithEachCrash() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3", "p4", "p5").forEach((target) -> suspect(one, target, this.now));
		assertThat(countStarts(one, 1000, Duration.ofMinutes(40))).isZero();
		assertThat(countStarts(one, 4000, Duration.ofMinutes(30))).isOne();
	}

	@Test
	void anotherNodeDoesNotRepeatATrial() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3").forEach((target) -> suspect(one, target, this.now));
		countStarts(one, 1000, Duration.ofMinutes(9));
		one.accept(new EntryEvent.MessageReceived(
				new NodeMessage.TraitsTried("two", CRASHING.traits(), Duration.ofSeconds(1))), this.now);
		assertThat(countStarts(one, 2000, Duration.ofMinutes(9))).isZero();
	}

	@Test
	void aContentIsServedAgainOnceATrialIsAnswered() {
		EntryReducer one = start("one");
		List.of("p1", "p2", "p3").forEach((target) -> suspect(one, target, this.now));
		int number = 1000;
		while (refuses(one, number)) {
			this.now = this.now.plusSeconds(1);
			one.accept(new EntryEvent.Ticked(), this.now);
			number++;
		}
		one.accept(new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Delivered(200, Duration.ZERO)), this.now);
		assertThat(refuses(one, 9000)).isFalse();
	}

	// Targets that answer garbage have not crashed, and the content is as sound as any.
	@Test
	void aContentThatTargetsAnswerWithGarbageIsNotRefused() {
		EntryReducer one = start("one");
		for (int number = 1; number <= 3; number++) {
			one.accept(new EntryEvent.RequestArrived(crashing(number)), this.now);
			one.accept(new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Unknown("garbage", false)), this.now);
			run(one, Duration.ofMillis(500));
		}
		run(one, Duration.ofSeconds(2));
		assertThat(refuses(one, 10)).isFalse();
	}

	// A target that falls silent while it runs a content, and whose process ends, has
	// crashed like one that closes its connections.
	@Test
	void aContentUnderWhichTargetsFallSilentAndEndIsRefused() {
		EntryReducer one = start("one");
		List<TargetEntry> heads = IntStream.range(0, 4)
			.mapToObj((group) -> ServingSamples.member("h" + group, "small." + group, group + 1, 0, MemberState.OPEN))
			.toList();
		List<TargetEntry> members = IntStream.range(0, 4)
			.mapToObj((group) -> ServingSamples.member("m" + group, "small." + group, group + 1, 1, MemberState.READY))
			.toList();
		one.accept(new EntryEvent.TargetsListed(Stream.concat(heads.stream(), members.stream()).toList(), 10),
				this.now);
		CallerRequest stream = ServingSamples.request(1, "/stream/x");
		Set<TargetName> silent = new HashSet<>();
		for (int number = 1; number <= 3; number++) {
			TargetName target = startedAt(one.accept(new EntryEvent.RequestArrived(repeat(stream, number)), this.now));
			silent.add(target);
			one.accept(new EntryEvent.TargetSilent(target, true), this.now);
			one.accept(new EntryEvent.CallerDisconnected(number, false), this.now);
			one.accept(new EntryEvent.TargetsChanged(List.of(new TargetChange(target, Optional.empty())), 10, 11),
					this.now);
			run(one, Duration.ofMillis(100));
		}
		assertThat(silent).hasSize(3);
		assertThat(refuses(one, repeat(stream, 9))).isTrue();
		assertThat(refuses(one, ServingSamples.request(10, "/stream/y"))).isFalse();
	}

	private static TargetName startedAt(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.findFirst()
			.orElseThrow();
	}

	private static CallerRequest repeat(CallerRequest request, long number) {
		return new CallerRequest(number, "r" + number, request.host(), request.path(), request.apiKey(),
				request.model(), request.tokenCounts(), request.sharedPromptParts(), request.timeLeft(),
				request.contentHash());
	}

	private static CallerRequest sound(long number) {
		return ServingSamples.request(number, "/again/y");
	}

	private List<NodeMessage> loseTargets(EntryReducer node, int count) {
		List<EntryEffect> effects = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			node.accept(new EntryEvent.RequestArrived(crashing(number)), this.now);
			node.accept(new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Unknown("closed", true)), this.now);
			effects.addAll(run(node, Duration.ofMillis(40)));
		}
		return suspicions(effects);
	}

	private void losePath(EntryReducer node) {
		List.of("p1", "p2", "p3")
			.forEach((target) -> node.accept(new EntryEvent.TargetUnreached(TargetName.of(target)), this.now));
	}

	private void restartTargets(EntryReducer node, String... names) {
		List<TargetChange> restarts = Stream.of(names)
			.flatMap((name) -> Stream.of(new TargetChange(TargetName.of(name), Optional.empty()),
					new TargetChange(TargetName.of(name + "b"), Optional.of(restarted(name)))))
			.toList();
		node.accept(new EntryEvent.TargetsChanged(restarts, 10, 11), this.now);
		node.accept(new EntryEvent.TargetConnected(TargetName.of(names[0] + "b")), this.now);
	}

	private boolean refuses(EntryReducer node, long number) {
		return refuses(node, crashing(number));
	}

	private boolean refuses(EntryReducer node, CallerRequest request) {
		List<EntryEffect> effects = node.accept(new EntryEvent.RequestArrived(request), this.now);
		return effects.stream().noneMatch(EntryEffect.StartAttempt.class::isInstance) && effects.stream()
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503
					&& answer.detail().contains("lost with"));
	}

	private static TargetEntry restarted(String name) {
		TargetEntry before = ServingSamples.plain(name);
		return new TargetEntry(TargetName.of(name + "b"), before.service(), before.address(), before.dataCentre(),
				before.slots(), false, 5_000, Optional.empty(), Set.of(), Optional.empty(), Optional.empty());
	}

}
