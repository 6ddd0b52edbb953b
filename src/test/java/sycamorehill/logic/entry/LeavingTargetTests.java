package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests targets that announce in their answers that they leave, while the store lists
 * them as ready.
 */
class LeavingTargetTests {

	private static final TargetReport LEAVING = new TargetReport(Optional.empty(), Optional.empty(), Optional.empty(),
			true);

	private final Instant now = Instant.ofEpochSecond(1000);

	private final List<TargetEntry> entries = List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2"),
			ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN),
			ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY),
			ServingSamples.member("b1", "small.2", 2, 0, MemberState.OPEN),
			ServingSamples.member("b2", "small.2", 2, 1, MemberState.READY));

	private EntryReducer node;

	@BeforeEach
	void setUp() {
		this.node = start("one");
	}

	private EntryReducer start(String name) {
		EntryReducer started = EntryReducer.of(ServingSamples.settings(name), name + "#1", new Random(1), this.now);
		started.accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), this.now);
		started.accept(new EntryEvent.TargetsListed(this.entries, 10), this.now);
		started.accept(
				new EntryEvent.NodesListed(List.of(ServingSamples.node("one", 7101), ServingSamples.node("two", 7102))),
				this.now);
		return started;
	}

	private List<EntryEffect> accept(EntryEvent event) {
		return this.node.accept(event, this.now);
	}

	private List<EntryEffect> announceLeaving(String target) {
		return accept(new EntryEvent.TargetReported(0, TargetName.of(target), LEAVING));
	}

	private List<TargetName> targetsOfRequests(EntryReducer at, String path) {
		return LongStream.rangeClosed(1, 8)
			.mapToObj((number) -> at.accept(new EntryEvent.RequestArrived(ServingSamples.request(number, path)),
					this.now))
			.flatMap(List::stream)
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.toList();
	}

	@ParameterizedTest
	@CsvSource({ "/once/x,p1", "/again/x,p1", "/stream/x,a1", "/single/x,a1" })
	void receivesNoRequestsOfAnyKind(String path, String target) {
		assertThat(targetsOfRequests(start("two"), path)).contains(TargetName.of(target));
		announceLeaving(target);
		assertThat(targetsOfRequests(this.node, path)).hasSize(8).doesNotContain(TargetName.of(target));
	}

	// A group can't serve without a member, so a member that leaves ends it.
	@Test
	void aGroupWithALeavingMemberReceivesNoRequests() {
		announceLeaving("a2");
		assertThat(targetsOfRequests(this.node, "/stream/x")).hasSize(8).doesNotContain(TargetName.of("a1"));
	}

	@Test
	void requestsThatItRunsAreNotCancelled() {
		accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/stream/x")));
		assertThat(announceLeaving("a1")).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
		assertThat(announceLeaving("b1")).noneMatch(EntryEffect.CancelAttempt.class::isInstance);
	}

	@Test
	void callersWithoutAnotherTargetAreRefusedAtOnce() {
		announceLeaving("p1");
		announceLeaving("p2");
		assertThat(accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/once/x"))))
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503);
	}

	// An entry that changes before the store has the notice still says that it is ready.
	@Test
	void staysLeavingWhateverTheStoreLists() {
		announceLeaving("p1");
		accept(new EntryEvent.TargetsChanged(List.of(change(this.entries.get(0))), 10, 11));
		accept(new EntryEvent.TargetsChanged(List.of(new TargetChange(TargetName.of("p1"), Optional.empty())), 11, 12));
		accept(new EntryEvent.TargetsChanged(List.of(change(this.entries.get(0))), 12, 13));
		assertThat(targetsOfRequests(this.node, "/once/x")).hasSize(8).doesNotContain(TargetName.of("p1"));
	}

	@Test
	void aNewProcessUnderTheSameNameReceivesRequests() {
		announceLeaving("p1");
		accept(new EntryEvent.TargetsChanged(List.of(change(restarted(this.entries.get(0)))), 10, 11));
		assertThat(targetsOfRequests(this.node, "/once/x")).contains(TargetName.of("p1"));
	}

	// Nodes that have no request there would send some until the store has the notice.
	@Test
	void otherNodesAreToldOnce() {
		NodeMessage message = new NodeMessage.TargetLeaving("one", TargetName.of("p1"), 1);
		assertThat(sentMessages(announceLeaving("p1"))).containsExactly(message);
		assertThat(sentMessages(announceLeaving("p1"))).isEmpty();
		EntryReducer other = start("two");
		assertThat(sentMessages(other.accept(new EntryEvent.MessageReceived(message), this.now))).isEmpty();
		assertThat(targetsOfRequests(other, "/once/x")).hasSize(8).doesNotContain(TargetName.of("p1"));
	}

	@Test
	void aMessageAboutAnEarlierProcessIsIgnored() {
		accept(new EntryEvent.MessageReceived(new NodeMessage.TargetLeaving("two", TargetName.of("p1"), 0)));
		assertThat(targetsOfRequests(this.node, "/once/x")).contains(TargetName.of("p1"));
	}

	private static List<NodeMessage> sentMessages(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.toList();
	}

	private static TargetChange change(TargetEntry entry) {
		return new TargetChange(entry.name(), Optional.of(entry));
	}

	private static TargetEntry restarted(TargetEntry entry) {
		return new TargetEntry(entry.name(), entry.service(), entry.address(), entry.dataCentre(), entry.slots(), false,
				entry.startMillis() + 1, entry.domain(), entry.staged(), entry.loaded(), entry.membership());
	}

}
