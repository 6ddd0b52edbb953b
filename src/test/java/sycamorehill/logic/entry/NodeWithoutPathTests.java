package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a node that reaches no engine, while the store and the node "two" reach it.
 */
class NodeWithoutPathTests {

	private static final int GROUPS = 6;

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private final Instant start = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	private long millis;

	@BeforeEach
	void setUp() {
		this.node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), this.start);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1));
		List<TargetEntry> members = IntStream.range(0, GROUPS)
			.boxed()
			.flatMap((group) -> Stream.of(
					ServingSamples.member("h" + group, "small." + group, group + 1, 0, MemberState.OPEN),
					ServingSamples.member("m" + group, "small." + group, group + 1, 1, MemberState.READY)))
			.toList();
		accept(new EntryEvent.TargetsListed(members, 10));
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("two", 7100))));
		run(300);
	}

	private List<EntryEffect> accept(EntryEvent event) {
		return this.node.accept(event, this.start.plusMillis(this.millis));
	}

	// Advances the time in ticks, with the messages that the other node sends all the
	// while.
	private List<EntryEffect> run(long duration) {
		List<EntryEffect> effects = new ArrayList<>();
		for (long end = this.millis + duration; this.millis < end;) {
			this.millis += 100;
			accept(new EntryEvent.MessageReceived(new NodeMessage.Loads("two", NORTH, true, Map.of())));
			effects.addAll(accept(new EntryEvent.TargetsChanged(List.of(), 10, 10)));
			effects.addAll(accept(new EntryEvent.Ticked()));
		}
		return effects;
	}

	private void losePath() {
		IntStream.range(0, 3).forEach((group) -> accept(new EntryEvent.TargetUnreached(TargetName.of("h" + group))));
	}

	private void holdLease() {
		accept(new EntryEvent.LeaseAnswered(new LeaseAnswer.Present(new Lease("one#1", 3, 50), true)));
		run(600);
		accept(new EntryEvent.LeaseAnswered(new LeaseAnswer.Present(new Lease("one#1", 3, 51), true)));
	}

	private static boolean isCommand(EntryEffect effect) {
		return effect instanceof EntryEffect.SendCommand;
	}

	// Reports fail because of the path. The controller takes the members of sound groups
	// for lost and disbands them.
	@Test
	void aControllerWithoutPathDisbandsNoGroups() {
		holdLease();
		losePath();
		List<EntryEffect> effects = new ArrayList<>();
		IntStream.range(0, GROUPS).forEach((group) -> {
			accept(new EntryEvent.MessageReceived(new NodeMessage.Silence("two", TargetName.of("h" + group))));
			effects.addAll(
					accept(new EntryEvent.ReportFailed(TargetName.of("m" + group), EngineCommandAnswer.NOT_CONNECTED)));
		});
		effects.addAll(run(400));
		accept(new EntryEvent.TargetConnected(TargetName.of("h0")));
		effects.addAll(run(1000));
		assertThat(effects).noneMatch(NodeWithoutPathTests::isCommand);
	}

	// All connections hang: nothing has failed yet when the first reports do.
	@ParameterizedTest
	@EnumSource(value = EngineCommandAnswer.class, names = { "NOT_KNOWN", "NOT_CONNECTED" })
	void aControllerWhoseStreamsAreAllSilentTakesNoMemberForLost(EngineCommandAnswer answer) {
		holdLease();
		accept(new EntryEvent.AllTargetsSilent());
		accept(new EntryEvent.ReportFailed(TargetName.of("m0"), answer));
		accept(new EntryEvent.TargetConnected(TargetName.of("h0")));
		assertThat(run(1000)).noneMatch(NodeWithoutPathTests::isCommand);
	}

	// Guards against a group that keeps a member where no process listens.
	@Test
	void aControllerWithAPathDisbandsTheGroupOfAMemberThatNobodyIs() {
		holdLease();
		accept(new EntryEvent.ReportFailed(TargetName.of("m0"), EngineCommandAnswer.NOTHING_LISTENS));
		assertThat(run(1000)).anyMatch(NodeWithoutPathTests::isCommand);
	}

	// Guards against a group that keeps a lost member, or loses one for a lost packet.
	@Test
	void aControllerWithAPathDisbandsTheGroupOfAMemberThatItCannotConnectTwice() {
		holdLease();
		EntryEvent failed = new EntryEvent.ReportFailed(TargetName.of("m0"), EngineCommandAnswer.NOT_CONNECTED);
		assertThat(accept(failed)).noneMatch(NodeWithoutPathTests::isCommand)
			.anyMatch((effect) -> effect instanceof EntryEffect.ReadReport read
					&& read.target().name().equals(TargetName.of("m0")));
		assertThat(run(1000)).noneMatch(NodeWithoutPathTests::isCommand);
		accept(failed);
		assertThat(run(1000)).anyMatch(NodeWithoutPathTests::isCommand);
	}

	// The store answers its holder, so that the lease would never expire.
	@Test
	void aControllerWithoutPathReleasesTheLease() {
		holdLease();
		losePath();
		List<EntryEffect> effects = run(1000);
		assertThat(effects).contains(new EntryEffect.ReplaceLease(new Lease("", 3, 51)))
			.anyMatch((effect) -> effect instanceof EntryEffect.Send send
					&& send.message().equals(new NodeMessage.LeaseReleased("one", "one#1")));
		accept(new EntryEvent.LeaseAnswered(new LeaseAnswer.Present(new Lease("", 3, 52), true)));
		assertThat(run(3000)).noneMatch(EntryEffect.ReplaceLease.class::isInstance);
		accept(new EntryEvent.TargetConnected(TargetName.of("h0")));
		assertThat(run(3000)).contains(new EntryEffect.ReplaceLease(new Lease("one#1", 4, 52, 1)));
	}

	private static boolean isSilenceReport(EntryEffect effect) {
		return effect instanceof EntryEffect.Send send && (send.message() instanceof NodeMessage.Silence
				|| send.message() instanceof NodeMessage.SilenceConfirmed);
	}

	private void letOtherNodeHoldLease() {
		accept(new EntryEvent.LeaseAnswered(new LeaseAnswer.Present(new Lease("two#1", 3, 50), false)));
	}

	// Two nodes without a path would accuse every sound engine, and all nodes would send
	// it nothing for 2 s.
	@Test
	void aNodeWithoutPathReportsNoEngineAsSilent() {
		letOtherNodeHoldLease();
		losePath();
		assertThat(accept(new EntryEvent.TargetSilent(TargetName.of("h4"), true)))
			.noneMatch(NodeWithoutPathTests::isSilenceReport);
	}

	// All connections hang: silence is noticed sooner than the broken path.
	@Test
	void aNodeWhoseStreamsAreAllSilentReportsNoEngine() {
		letOtherNodeHoldLease();
		accept(new EntryEvent.AllTargetsSilent());
		assertThat(accept(new EntryEvent.TargetSilent(TargetName.of("h4"), true)))
			.noneMatch(NodeWithoutPathTests::isSilenceReport);
	}

	@Test
	void aControllerWithoutPathConfirmsNoSilence() {
		holdLease();
		accept(new EntryEvent.AllTargetsSilent());
		accept(new EntryEvent.TargetSilent(TargetName.of("h4"), true));
		assertThat(accept(new EntryEvent.MessageReceived(new NodeMessage.Silence("two", TargetName.of("h4")))))
			.noneMatch(NodeWithoutPathTests::isSilenceReport);
	}

	@Test
	void aNodeWithAPathReportsASilentEngine() {
		letOtherNodeHoldLease();
		accept(new EntryEvent.AllTargetsSilent());
		accept(new EntryEvent.TargetConnected(TargetName.of("h0")));
		assertThat(accept(new EntryEvent.TargetSilent(TargetName.of("h4"), true)))
			.anyMatch(NodeWithoutPathTests::isSilenceReport);
	}

	private static boolean isSuspicion(EntryEffect effect) {
		return effect instanceof EntryEffect.Send send && send.message() instanceof NodeMessage.TargetLost;
	}

	private List<EntryEffect> breakStreams(int count) {
		List<EntryEffect> effects = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			accept(new EntryEvent.RequestArrived(ServingSamples.request(number, "/stream/x")));
			accept(new EntryEvent.AnswerStarted(number));
		}
		for (int number = 1; number <= count; number++) {
			effects.addAll(accept(
					new EntryEvent.AttemptEnded(number, 1, new AttemptEnd.Broken("connection closed", true, true))));
		}
		return effects;
	}

	// The path breaks: each stream is lost at its target and again at the next one. All
	// nodes would refuse these contents, which have crashed nothing.
	@Test
	void contentsThatWereLostWithThePathAreNotSuspect() {
		List<EntryEffect> effects = breakStreams(4);
		losePath();
		effects.addAll(run(2000));
		assertThat(effects).noneMatch(NodeWithoutPathTests::isSuspicion);
	}

	@Test
	void aContentThatWasLostWithATargetIsReported() {
		List<EntryEffect> effects = breakStreams(1);
		effects.addAll(run(500));
		assertThat(effects).anyMatch(NodeWithoutPathTests::isSuspicion);
	}

	private long countStartsAtTargets(int firstNumber, int count) {
		return IntStream.range(firstNumber, firstNumber + count)
			.filter((number) -> accept(new EntryEvent.RequestArrived(ServingSamples.request(number, "/stream/x")))
				.stream()
				.anyMatch(EntryEffect.StartAttempt.class::isInstance))
			.count();
	}

	// A service has few targets, and this node has tried them all. If the other node left
	// them out, it would have none.
	@Test
	void theOtherNodeMayUseTargetsThatThisNodeCouldNotConnect() {
		accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/stream/x")));
		List<EntryEffect> effects = new ArrayList<>();
		for (int attempt = 1; attempt <= 3; attempt++) {
			effects.addAll(
					accept(new EntryEvent.AttemptEnded(1, attempt, new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED))));
		}
		assertThat(effects).filteredOn(EntryEffect.StartProxiedAttempt.class::isInstance)
			.singleElement()
			.satisfies((effect) -> assertThat(((EntryEffect.StartProxiedAttempt) effect).request().triedTargets())
				.isEmpty());
	}

	// Every target has failed here. While each is left out for its own failures, callers
	// are refused for seconds after the path is back.
	@Test
	void targetsReceiveRequestsAsSoonAsThePathIsBack() {
		for (int number = 1; number <= GROUPS; number++) {
			accept(new EntryEvent.RequestArrived(ServingSamples.request(number, "/stream/x")));
			for (int attempt = 1; attempt <= GROUPS; attempt++) {
				accept(new EntryEvent.AttemptEnded(number, attempt, new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED)));
			}
		}
		IntStream.range(0, GROUPS)
			.forEach((group) -> accept(new EntryEvent.TargetSilent(TargetName.of("h" + group), true)));
		run(200);
		accept(new EntryEvent.TargetConnected(TargetName.of("h0")));
		assertThat(countStartsAtTargets(100, 10)).isEqualTo(10);
	}

	// All engines are down: no other node could control them better.
	@Test
	void aControllerKeepsTheLeaseWhenNoNodeReachesTheEngines() {
		holdLease();
		accept(new EntryEvent.MessageReceived(
				new NodeMessage.ServicesUnreachable("two", Set.of(ServingSamples.ENGINES))));
		losePath();
		assertThat(run(1000)).doesNotContain(new EntryEffect.ReplaceLease(new Lease("", 3, 51)));
	}

}
