package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers get for each way in which attempts end.
 */
class RequestDispatcherTests {

	private Instant now = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		this.dispatcher.adopt(ServingSamples.configuration(1));
		targets(ServingSamples.plain("p1"), ServingSamples.plain("p2"),
				ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN),
				ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY),
				ServingSamples.member("b1", "small.2", 2, 0, MemberState.OPEN),
				ServingSamples.member("b2", "small.2", 2, 1, MemberState.READY));
	}

	private void targets(TargetEntry... entries) {
		this.directory.replaceAll(List.of(entries), this.now);
	}

	private List<EntryEffect> arrive(long number, String path) {
		Effects effects = Effects.begin();
		this.dispatcher.handleRequest(ServingSamples.request(number, path), this.now, this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> end(long number, int attempt, AttemptEnd end) {
		Effects effects = Effects.begin();
		this.dispatcher.handleAttemptEnd(number, attempt, end, this.now, effects);
		return effects.all();
	}

	private static Stream<EntryEffect.StartAttempt> starts(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map(EntryEffect.StartAttempt.class::cast);
	}

	private static TargetName target(List<EntryEffect> effects) {
		return starts(effects).findFirst().orElseThrow().target().name();
	}

	private static EntryEffect.Answer answer(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Answer.class::isInstance)
			.map(EntryEffect.Answer.class::cast)
			.findFirst()
			.orElseThrow();
	}

	// An order is sent and its connection breaks before an answer. A second attempt, or a
	// refusal after which the caller tries again, would place the order twice.
	@Test
	void anOrderWithAnUnknownOutcomeIsNeitherRetriedNorRefused() {
		arrive(1, "/once/x");
		List<EntryEffect> effects = end(1, 1, new AttemptEnd.Unknown("connection closed"));
		assertThat(starts(effects)).isEmpty();
		assertThat(answer(effects).status()).isEqualTo(502);
		assertThat(answer(effects).retryAfter()).isEmpty();
	}

	// The target says that it did not run the order, which may go to one target only: the
	// caller is told the truth, and when to come back.
	@Test
	void anOrderThatWasNotRunIsRefusedWithRetryAfter() {
		arrive(1, "/once/x");
		EntryEffect.Answer answer = answer(end(1, 1, new AttemptEnd.NotRun(NotRunCause.REFUSED, Optional.empty())));
		assertThat(answer.status()).isEqualTo(503);
		assertThat(answer.retryAfter()).isPresent();
	}

	// A refused connection took no byte: the order goes to another target, which is the
	// first that it reaches.
	@Test
	void anOrderThatReachedNoTargetIsSentToAnother() {
		TargetName first = target(arrive(1, "/once/x"));
		TargetName second = target(end(1, 1, new AttemptEnd.NotRun(NotRunCause.NOT_SENT, Optional.empty())));
		assertThat(second).isNotEqualTo(first);
	}

	// The first attempt has an unknown outcome and the second is refused: the request may
	// have run, so the answer must not promise that it has not.
	@Test
	void anUnknownOutcomeIsKeptWhenTheNextAttemptIsRefused() {
		arrive(1, "/again/x");
		end(1, 1, new AttemptEnd.Unknown("connection closed"));
		List<EntryEffect> effects = end(1, 2, new AttemptEnd.NotRun(NotRunCause.REFUSED, Optional.empty()));
		assertThat(answer(effects).status()).isEqualTo(502);
	}

	@Test
	void aFailedAttemptIsRetriedOnceAndThenItsFailureIsReturned() {
		TargetName first = target(arrive(1, "/again/x"));
		TargetName second = target(end(1, 1, new AttemptEnd.Failed(500)));
		assertThat(second).isNotEqualTo(first);
		List<EntryEffect> effects = end(1, 2, new AttemptEnd.Unknown("connection closed"));
		assertThat(effects).contains(new EntryEffect.GiveHeldFailure(1));
	}

	// A group dies within a stream. The caller goes on getting events from another group
	// within the same answer, and only once.
	@Test
	void aBrokenStreamIsResumedOnAnotherGroupOnce() {
		TargetName first = target(arrive(1, "/stream/x"));
		this.dispatcher.handleFirstEvent(1, this.now);
		TargetName second = target(end(1, 1, new AttemptEnd.Broken("connection closed", true)));
		assertThat(second).isNotEqualTo(first);
		assertThat(end(1, 2, new AttemptEnd.Broken("connection closed", true)))
			.contains(new EntryEffect.BreakAnswer(1));
	}

	// A stream that may run only once breaks: it ends in a way that can't look whole.
	@Test
	void aBrokenStreamThatMayNotBeResumedIsAborted() {
		arrive(1, "/single/x");
		this.dispatcher.handleFirstEvent(1, this.now);
		assertThat(end(1, 1, new AttemptEnd.Broken("connection closed", true)))
			.contains(new EntryEffect.BreakAnswer(1));
	}

	// A group lost a member: its head stands still. The stream moves on to the other
	// group; with no other group it waits, because silence is no reason to end an
	// answer.
	@Test
	void streamsOfASilentGroupMoveOnlyToAnotherGroup() {
		TargetName first = target(arrive(1, "/stream/x"));
		Effects effects = Effects.begin();
		this.dispatcher.handleSilentTarget(first, this.now, effects);
		assertThat(target(effects.all())).isNotEqualTo(first);
		Effects none = Effects.begin();
		this.dispatcher.handleSilentTarget(target(effects.all()), this.now, none);
		assertThat(starts(none.all())).isEmpty();
		assertThat(none.all()).noneMatch(EntryEffect.Answer.class::isInstance);
	}

	private void reportSilence(TargetName target, Effects effects) {
		this.dispatcher.handleReportedSilence(target, this.now, effects);
	}

	// A group lost a member. This node has one request there, which waits for its first
	// event and says nothing yet; other nodes have streams there that stand still. Left
	// alone, the request would wait for a second, and new ones would join it.
	@Test
	void aWaitingRequestMovesWhenOtherNodesReportItsGroupSilent() {
		TargetName first = target(arrive(1, "/stream/x"));
		Effects effects = Effects.begin();
		reportSilence(first, effects);
		assertThat(target(effects.all())).isNotEqualTo(first);
		assertThat(target(arrive(2, "/stream/x"))).isNotEqualTo(first);
	}

	// Two nodes behind a link that loses packets took a group for silent. Its streams to
	// this node go on.
	@Test
	void aStartedStreamStaysWhenOtherNodesReportItsGroupSilent() {
		TargetName first = target(arrive(1, "/stream/x"));
		this.dispatcher.handleFirstEvent(1, this.now);
		Effects effects = Effects.begin();
		reportSilence(first, effects);
		assertThat(effects.all()).isEmpty();
	}

	// An engine is cut off from the store, so that the directory shows it as the head
	// of a group that it has left. Each node sent it a request every half second, and
	// each request has two targets to try.
	@Test
	void aGroupThatItsHeadHasLeftReceivesNoRequestsWhileStillListed() {
		TargetName first = target(arrive(1, "/stream/x"));
		end(1, 1, new AttemptEnd.NotRun(NotRunCause.WRONG_TARGET, Optional.empty()));
		this.now = this.now.plusSeconds(3);
		for (int number = 2; number < 9; number++) {
			assertThat(target(arrive(number, "/stream/x"))).isNotEqualTo(first);
		}
	}

	// The controller has taken a group apart and tells all nodes. The head takes part in
	// another group soon after, under another epoch, and gets requests again.
	@Test
	void aHeadReceivesRequestsAgainInItsNextGroup() {
		TargetName first = target(arrive(1, "/stream/x"));
		String group = first.equals(TargetName.of("a1")) ? "small.1" : "small.2";
		Effects effects = Effects.begin();
		this.dispatcher.handleGroupEnded(first, group, group.equals("small.1") ? 1 : 2, this.now, effects);
		assertThat(target(effects.all())).isNotEqualTo(first);
		targets(ServingSamples.member(first.toString(), "small.9", 9, 0, MemberState.OPEN),
				ServingSamples.member("z2", "small.9", 9, 1, MemberState.READY));
		assertThat(target(arrive(2, "/stream/x"))).isEqualTo(first);
	}

	@Test
	void aLeavingTargetReceivesNoRequests() {
		targets(ServingSamples.leaving(ServingSamples.plain("p1")), ServingSamples.plain("p2"));
		for (int number = 1; number <= 5; number++) {
			assertThat(target(arrive(number, "/once/x"))).isEqualTo(TargetName.of("p2"));
		}
	}

	// A member of a group is gone while its head still looks open: it left the group,
	// began another life, said that it leaves and went, or was never seen at all.
	@Test
	void aGroupWithAMissingMemberReceivesNoRequests() {
		TargetEntry head = ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN);
		TargetEntry member = ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY);
		targets(head, ServingSamples.engine("a2", "d0"));
		assertThat(answer(arrive(1, "/stream/x")).status()).isEqualTo(503);
		targets(head, ServingSamples.member("a2", "small.3", 3, 1, MemberState.READY));
		assertThat(answer(arrive(2, "/stream/x")).status()).isEqualTo(503);
		targets(head, ServingSamples.leaving(member));
		assertThat(answer(arrive(3, "/stream/x")).status()).isEqualTo(503);
		targets(head);
		assertThat(answer(arrive(4, "/stream/x")).status()).isEqualTo(503);
		targets(ServingSamples.member("c1", "small.4", 4, 0, MemberState.OPEN));
		assertThat(answer(arrive(5, "/stream/x")).status()).isEqualTo(503);
	}

	// A member is cut off from the store, not from its head: its entry lapses after 3 s
	// while the group answers all its streams. Taken for lost, seven engines cut off took
	// four of twelve groups down. The group goes on until the controller takes it apart,
	// or the entry has been gone for 10 s.
	@Test
	void aGroupServesUntilTheMissingEntryOfAMemberExpires() {
		targets(ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN));
		assertThat(target(arrive(1, "/stream/x"))).isEqualTo(TargetName.of("a1"));
		this.now = this.now.plusSeconds(11);
		this.directory.dropMissing(this.now);
		assertThat(answer(arrive(2, "/stream/x")).status()).isEqualTo(503);
	}

	// The head's own entry goes without notice: it may be leaving, and a leaving target
	// gets no new work.
	@Test
	void aGroupWithoutTheEntryOfItsHeadReceivesNoRequests() {
		targets(ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY));
		assertThat(answer(arrive(1, "/stream/x")).status()).isEqualTo(503);
	}

	@Test
	void aTimedOutRequestThatMayHaveRunIsNotReportedAsNotRun() {
		arrive(1, "/once/x");
		Effects effects = Effects.begin();
		this.dispatcher.handleTimeout(1, this.now.plus(Duration.ofSeconds(6)), effects);
		assertThat(effects.all()).contains(new EntryEffect.CancelAttempt(1, 1));
		assertThat(answer(effects.all()).status()).isEqualTo(504);
	}

	// A request crashes each target that runs it and comes again at other nodes.
	// After three targets it is refused everywhere; a bystander that was answered
	// since is not.
	@Test
	void aContentThatCrashedThreeTargetsIsRefusedUntilCleared() {
		long content = ServingSamples.request(7, "/again/x").content();
		for (String target : List.of("p1", "p2", "p3")) {
			this.dispatcher.handleMessage(new NodeMessage.Suspicion("two", content, TargetName.of(target)), this.now,
					Effects.begin());
		}
		assertThat(answer(arrive(7, "/again/x")).status()).isEqualTo(503);
		this.dispatcher.handleMessage(new NodeMessage.Cleared("two", content), this.now, Effects.begin());
		assertThat(starts(arrive(7, "/again/x"))).hasSize(1);
	}

	@Test
	void anUnknownKeyAndAnUnknownPathAreRefusedBeforeAnyAttempt() {
		assertThat(answer(arrive(1, "/nowhere/x")).status()).isEqualTo(404);
		Effects effects = Effects.begin();
		var request = ServingSamples.request(2, "/once/x");
		this.dispatcher.handleRequest(new CallerRequest(2, "r2", request.host(), request.path(), Optional.of("other"),
				Optional.empty(), Optional.empty(), Optional.empty(), 1), this.now, this.now, effects);
		assertThat(answer(effects.all()).status()).isEqualTo(401);
	}

	// Before any configuration is known a node can't tell a bad request from a good one.
	@Test
	void aNodeWithoutAConfigurationAnswersUnavailable() {
		RequestDispatcher fresh = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		Effects effects = Effects.begin();
		fresh.handleRequest(ServingSamples.request(1, "/nowhere/x"), this.now, this.now, effects);
		assertThat(answer(effects.all()).status()).isEqualTo(503);
	}

}
