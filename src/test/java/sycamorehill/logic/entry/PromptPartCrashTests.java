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

}
