package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a stream leaves its target only for another one, when the target is silent
 * or its group ends.
 */
class MovedStreamTests {

	private static final TargetName HEAD = TargetName.of("a1");

	private final Instant now = Instant.ofEpochSecond(1000);

	private TargetDirectory directory;

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		createDispatcher(1);
	}

	private void createDispatcher(long seed) {
		this.directory = TargetDirectory.create();
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(seed));
		this.dispatcher.updateRetryShare(new RetryShare(10, 4, 0));
		this.dispatcher.adopt(ServingSamples.configuration(1));
	}

	private void listGroups(TargetEntry... entries) {
		this.directory.replaceAll(List.of(entries), this.now);
	}

	private static TargetEntry head(String name, String group, long epoch) {
		return ServingSamples.member(name, group, epoch, 0, MemberState.OPEN);
	}

	private static TargetEntry member(String name, String group, long epoch) {
		return ServingSamples.member(name, group, epoch, 1, MemberState.READY);
	}

	private void startStream(long number) {
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(number, "/stream/x"), this.now, this.now, effects);
		assertThat(effects.all()).anyMatch(
				(effect) -> effect instanceof EntryEffect.StartAttempt start && start.target().name().equals(HEAD));
		this.dispatcher.handleFirstEvent(number, this.now);
	}

	private List<EntryEffect> endGroup(String group, long epoch) {
		Effects effects = Effects.create();
		this.dispatcher.handleGroupEnded(HEAD, group, epoch, this.now, effects);
		return effects.all();
	}

	private static Stream<EntryEffect> ofStreams(List<EntryEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof EntryEffect.AbortAnswer || effect instanceof EntryEffect.CancelAttempt
					|| effect instanceof EntryEffect.StartAttempt);
	}

	// The message that the last group of the head has ended comes after the head has
	// received streams in its next group, which end with it.
	@Test
	void aStreamOfTheNextGroupOfAHeadStaysWhenTheLastGroupHasEnded() {
		listGroups(head("a1", "small.3", 3), member("a2", "small.3", 3));
		startStream(1);
		listGroups(head("a1", "small.3", 3), member("a2", "small.3", 3), head("b1", "small.2", 2),
				member("b2", "small.2", 2));
		assertThat(ofStreams(endGroup("small.1", 1))).isEmpty();
	}

	// The only other place of the stream is the next group of its own head, which is
	// never tried again: the stream is aborted while it may still run.
	@Test
	void aStreamIsNotTakenFromItsHeadForTheNextGroupOfThatHead() {
		listGroups(head("a1", "small.1", 1), member("a2", "small.1", 1));
		startStream(1);
		listGroups(head("a1", "small.3", 3), member("a2", "small.3", 3));
		assertThat(ofStreams(endGroup("small.1", 1))).isEmpty();
	}

	@Test
	void aStreamOfAnEndedGroupGoesOnInAnotherGroup() {
		listGroups(head("a1", "small.1", 1), member("a2", "small.1", 1));
		startStream(1);
		listGroups(head("a1", "small.1", 1), member("a2", "small.1", 1), head("b1", "small.2", 2),
				member("b2", "small.2", 2));
		assertThat(ofStreams(endGroup("small.1", 1)).map(Object::getClass).map(Class::getSimpleName))
			.containsExactly("StartAttempt");
		Effects effects = Effects.create();
		this.dispatcher.handleAttemptPrevailed(1, 2, this.now, effects);
		assertThat(ofStreams(effects.all())).containsExactly(new EntryEffect.CancelAttempt(1, 1));
	}

	// Of two groups of about the same rank only one admits the stream. It is aborted if
	// the group is drawn twice, and the second draw finds the full one.
	@Test
	void aStreamThatLeavesASilentTargetIsNeverAborted() {
		for (int prefillMillis = 0; prefillMillis < 2000; prefillMillis++) {
			createDispatcher(prefillMillis);
			listGroups(head("a1", "small.1", 1), member("a2", "small.1", 1));
			startStream(1);
			listGroups(head("a1", "small.1", 1), member("a2", "small.1", 1), head("b1", "small.2", 2),
					member("b2", "small.2", 2), head("c1", "small.3", 3), member("c2", "small.3", 3));
			reportLoads(prefillMillis);
			Effects effects = Effects.create();
			this.dispatcher.handleSilentTarget(HEAD, "one", this.now, effects);
			assertThat(ofStreams(effects.all())).as("%d ms", prefillMillis)
				.noneMatch(EntryEffect.AbortAnswer.class::isInstance);
		}
	}

	// One group is full, and the other has a free slot after a prefill.
	private void reportLoads(int prefillMillis) {
		this.dispatcher.handleMessage(
				new NodeMessage.Loads("two", DataCentreName.of("north"), true, Map.of(TargetName.of("b1"), 17)),
				this.now, Effects.create());
		this.dispatcher.handleMessage(
				new NodeMessage.RequestPlaced("two", TargetName.of("c1"), Duration.ofMillis(prefillMillis)), this.now,
				Effects.create());
	}

}
