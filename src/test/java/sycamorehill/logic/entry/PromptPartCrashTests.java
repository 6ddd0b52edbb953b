package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a part of prompts which crashes the engines that begin to answer it is
 * refused, and no other part.
 */
class PromptPartCrashTests {

	private static final int GROUPS = 12;

	private Instant now = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	private long number;

	@BeforeEach
	void setUp() {
		this.node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), this.now);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1));
		accept(new EntryEvent.TargetsListed(IntStream.range(0, GROUPS)
			.mapToObj(Integer::toString)
			.flatMap((name) -> Stream.of(engine("h" + name, name, 0), engine("m" + name, name, 1)))
			.toList(), 10));
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("one", 7101))));
		run(300);
	}

	private static TargetEntry engine(String name, String group, int rank) {
		return ServingSamples.member(name, "small." + group, 1 + Integer.parseInt(group), rank,
				(rank == 0) ? MemberState.OPEN : MemberState.READY);
	}

	private List<EntryEffect> accept(EntryEvent event) {
		return this.node.accept(event, this.now);
	}

	private void run(long millis) {
		for (Instant end = this.now.plusMillis(millis); this.now.isBefore(end);) {
			this.now = this.now.plusMillis(20);
			accept(new EntryEvent.Ticked());
		}
	}

	private CallerRequest request(String... sharedParts) {
		this.number++;
		CallerRequest sample = ServingSamples.request(this.number, "/stream/" + this.number);
		return new CallerRequest(this.number, sample.identifier(), sample.host(), sample.path(), sample.apiKey(),
				sample.model(), sample.tokenCounts(), List.of(sharedParts), sample.timeLeft(), sample.contentHash());
	}

	private Optional<TargetName> start(CallerRequest request) {
		return accept(new EntryEvent.RequestArrived(request)).stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.findFirst();
	}

	/**
	 * Serves a stream.
	 * @param request the request
	 */
	private void serve(CallerRequest request) {
		assertThat(start(request)).isPresent();
		run(100);
		accept(new EntryEvent.AnswerStarted(request.number()));
		run(400);
		accept(new EntryEvent.AttemptEnded(request.number(), 1, new AttemptEnd.Delivered(200, Duration.ZERO)));
	}

	/**
	 * Crashes the target that begins to answer a request; its process ends at once.
	 * @param request the request
	 * @return whether it reached a target
	 */
	private boolean crash(CallerRequest request) {
		Optional<TargetName> target = start(request);
		run(180);
		target.ifPresent((name) -> {
			accept(new EntryEvent.AttemptEnded(request.number(), 1, new AttemptEnd.Unknown("connection closed", true)));
			accept(new EntryEvent.CallerDisconnected(request.number(), false));
			accept(new EntryEvent.TargetsChanged(List.of(new TargetChange(name, Optional.empty())), 10, 11));
			run(300);
		});
		return target.isPresent();
	}

	// Requests with one part in their prompts crash target after target, no two alike.
	@Test
	void aPartThatCrashesTargetsIsRefused() {
		serve(request("system", "yard"));
		long reached = Stream.generate(() -> request("system", "yard", "bad")).limit(8).filter(this::crash).count();
		assertThat(reached).isLessThanOrEqualTo(5);
		serve(request("system", "yard"));
		serve(request("system", "yard", "good"));
	}

	private boolean reachesTarget(CallerRequest request) {
		Optional<TargetName> target = start(request);
		accept(new EntryEvent.CallerDisconnected(request.number(), false));
		return target.isPresent();
	}

	// All crashed targets ran sound requests too, which share the caller and all other
	// parts
	// with the one that crashes them. Their parts come again at once.
	@Test
	void partsThatRanBesideTheOneThatCrashesTargetsAreServed() {
		for (int time = 0; time < 5; time++) {
			List<CallerRequest> bystanders = Stream.generate(() -> request("system", "yard", "doc"))
				.limit(GROUPS)
				.toList();
			bystanders.forEach(this::start);
			crash(request("system", "yard", "bad", "doc"));
			bystanders.forEach((bystander) -> accept(new EntryEvent.CallerDisconnected(bystander.number(), false)));
			serve(request("system", "yard", "doc"));
		}
		assertThat(reachesTarget(request("system", "yard", "bad"))).isFalse();
		assertThat(reachesTarget(request("system", "yard", "doc"))).isTrue();
	}

	// Two parts always come together, so that either may be the cause. Requests with one
	// of
	// them show which; until then only those with both are refused.
	@Test
	void partsThatAlwaysCameTogetherAreRefusedTogether() {
		IntStream.range(0, 3).forEach((time) -> crash(request("system", "one", "two")));
		run(400);
		assertThat(reachesTarget(request("system", "one", "two"))).isFalse();
		serve(request("system", "one"));
		assertThat(reachesTarget(request("system", "two", "three"))).isFalse();
	}

	// The targets have other software, under which a part crashes them that was sound.
	@Test
	void aPartThatWasSoundIsRefusedAfterFourCrashes() {
		serve(request("system", "yard", "doc"));
		long reached = Stream.generate(() -> request("system", "yard", "doc"))
			.limit(9)
			.filter((request) -> crash(request) && servesAnother())
			.count();
		assertThat(reached).isEqualTo(4);
		serve(request("system", "yard"));
	}

	private boolean servesAnother() {
		serve(request("system", "yard"));
		return true;
	}

	// A fabric domain fails, and with it all targets that a part was running on.
	@Test
	void aPartThatRanOnManyTargetsThatEndedTogetherIsServed() {
		serve(request("system", "doc"));
		List<CallerRequest> running = Stream.generate(() -> request("system", "doc")).limit(GROUPS).toList();
		List<TargetName> targets = running.stream().map((request) -> start(request).orElseThrow()).distinct().toList();
		run(100);
		running.stream()
			.limit(6)
			.forEach((request) -> accept(new EntryEvent.AttemptEnded(request.number(), 1,
					new AttemptEnd.Unknown("connection closed", true))));
		accept(new EntryEvent.TargetsChanged(
				targets.stream().limit(6).map((name) -> new TargetChange(name, Optional.empty())).toList(), 10, 11));
		run(1000);
		assertThat(targets).hasSizeGreaterThan(5);
		assertThat(reachesTarget(request("system", "doc"))).isTrue();
	}

	// Each request with the part would cost two targets.
	@Test
	void aLostRequestIsNotSentOnOnceTwoTargetsWereLostWithItsPart() {
		serve(request("system"));
		crash(request("system", "bad"));
		CallerRequest second = request("system", "bad");
		start(second);
		List<EntryEffect> effects = accept(
				new EntryEvent.AttemptEnded(second.number(), 1, new AttemptEnd.Unknown("connection closed", true)));
		assertThat(effects).noneMatch(EntryEffect.StartAttempt.class::isInstance)
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 502);
	}

	// A sound bystander of crashes goes on elsewhere, as its parts are known to be sound.
	@Test
	void aLostRequestWithSoundPartsIsSentOn() {
		serve(request("system", "yard"));
		crash(request("system", "yard", "bad"));
		run(10_000);
		CallerRequest bystander = request("system", "yard");
		start(bystander);
		List<EntryEffect> effects = accept(
				new EntryEvent.AttemptEnded(bystander.number(), 1, new AttemptEnd.Unknown("connection closed", true)));
		assertThat(effects).anyMatch(EntryEffect.StartAttempt.class::isInstance);
	}

}
