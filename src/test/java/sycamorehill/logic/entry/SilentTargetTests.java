package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what happens to requests at a target whose answers have stalled.
 */
class SilentTargetTests {

	private static final int SLOTS = ServingSamples.engineFigures().slots();

	/** The process has its share of the retries when the tests begin. */
	private static final Duration LEAD = Duration.ofSeconds(20);

	private final Instant start = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	@BeforeEach
	void setUp() {
		this.node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), this.start.minus(LEAD));
		accept(new EntryEvent.NodesListed(List.of()), -LEAD.toMillis());
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 0);
		accept(new EntryEvent.TargetsListed(List.of(ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN),
				ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY),
				ServingSamples.member("b1", "small.2", 2, 0, MemberState.OPEN),
				ServingSamples.member("b2", "small.2", 2, 1, MemberState.READY)), 10), 0);
		accept(new EntryEvent.Ticked(), 0);
	}

	private List<EntryEffect> accept(EntryEvent event, long millis) {
		return this.node.accept(event, this.start.plus(Duration.ofMillis(millis)));
	}

	private TargetName arrive(long number, long millis) {
		return startedAt(accept(new EntryEvent.RequestArrived(ServingSamples.request(number, "/stream/x")), millis))
			.get(0);
	}

	private static List<TargetName> startedAt(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.toList();
	}

	private void reportLoad(TargetName target, int running, int waiting, long millis) {
		TargetReport report = new TargetReport(Optional.of(new EngineLoad(running, waiting, SLOTS)), Optional.empty(),
				Optional.empty(), false);
		accept(new EntryEvent.TargetReported(1, target, report), millis);
	}

	// In a burst, requests wait in the queue of a healthy group for more than a second.
	// If
	// the group counts as silent, its queue moves to the other group, which then counts
	// as silent as well, and callers wait in both queues in turn.
	@Test
	void requestsInTheQueueOfABusyGroupKeepTheirPlaces() {
		List<TargetName> targets = new ArrayList<>();
		for (int number = 1; number <= 8; number++) {
			targets.add(arrive(number, number));
		}
		TargetName busy = targets.get(0);
		reportLoad(busy, SLOTS, 4, 1000);
		List<EntryEffect> effects = accept(new EntryEvent.TargetSilent(busy, false), 1150);
		assertThat(startedAt(effects)).isEmpty();
		assertThat(effects).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
	}

	// A group lost a member before any of its answers began. It has free slots, so the
	// requests are not queued and would wait in vain.
	@Test
	void requestsAtASilentGroupWithFreeSlotsMove() {
		TargetName silent = arrive(1, 0);
		assertThat(startedAt(accept(new EntryEvent.TargetSilent(silent, false), 1150))).hasSize(1)
			.doesNotContain(silent);
		assertThat(arrive(2, 1200)).isNotEqualTo(silent);
	}

	// A busy group lost a member while it streamed answers.
	@Test
	void requestsMoveFromABusyGroupWhoseStartedAnswersStalled() {
		TargetName silent = arrive(1, 0);
		accept(new EntryEvent.AnswerStarted(1), 200);
		reportLoad(silent, SLOTS, 4, 300);
		assertThat(startedAt(accept(new EntryEvent.TargetSilent(silent, true), 800))).hasSize(1).doesNotContain(silent);
	}

}
