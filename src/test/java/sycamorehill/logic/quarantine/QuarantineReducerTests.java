package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.ContentQuarantined;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.peer.QuarantineEntry;
import sycamorehill.model.peer.SuspectEntry;
import sycamorehill.model.peer.SuspectReported;
import sycamorehill.model.peer.SuspectsSpread;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.support.FixedView;
import sycamorehill.support.SampleRequests;

import static org.assertj.core.api.Assertions.assertThat;

class QuarantineReducerTests {

	private static final Fingerprint CRASHING = new Fingerprint("guilty");

	private static final Fingerprint HARMLESS = new Fingerprint("bystander");

	private static final ServingTarget FIRST = SampleRequests.target("t1");

	private static final ServingTarget SECOND = SampleRequests.target("t2");

	private final FixedView view = FixedView.of("n1");

	private QuarantineState state = QuarantineState.initial();

	private Instant now = Instant.EPOCH;

	private long attempts;

	@Test
	void contentRunningWhenATargetsConnectionIsLostIsSuspect() {
		loseConnection(start(CRASHING, FIRST), CRASHING, FIRST);
		assertThat(this.state.isSuspect(CRASHING, this.now)).isTrue();
	}

	@Test
	void completeAnswerClearsASuspect() {
		loseConnection(start(CRASHING, FIRST), CRASHING, FIRST);
		close(start(CRASHING, SECOND), CRASHING, SECOND, new AttemptResult.Completed(1, Optional.empty()));
		assertThat(this.state.isSuspect(CRASHING, this.now)).isFalse();
	}

	// Requests that ran beside the crashing content would keep waiting for an isolation
	// slot although the cause of the crash is known.
	@Test
	void harmlessContentIsClearedWhenTheCrashingContentIsFound() {
		AttemptIdentifier crashing = start(CRASHING, FIRST);
		AttemptIdentifier harmless = start(HARMLESS, FIRST);
		loseConnection(crashing, CRASHING, FIRST);
		loseConnection(harmless, HARMLESS, FIRST);
		advance(Duration.ofSeconds(1));
		loseConnection(start(CRASHING, SECOND), CRASHING, SECOND);
		advance(Duration.ofSeconds(3));
		assertThat(this.state.isQuarantined(CRASHING, this.now)).isTrue();
		assertThat(this.state.isSuspect(HARMLESS, this.now)).isFalse();
	}

	// The arbiter's report of a crash arrives after the content has been sent again. If
	// it replaced the time of the crash, the next crash would be taken for the first one,
	// and a third target would crash.
	@Test
	void repeatedReportOfACrashKeepsItsFirstTime() {
		this.view.live(new LiveNode(FixedView.of("n2").self(), false, Instant.EPOCH));
		loseConnection(start(CRASHING, FIRST), CRASHING, FIRST);
		advance(Duration.ofMillis(100));
		AttemptIdentifier again = start(CRASHING, SECOND);
		advance(Duration.ofMillis(100));
		receive(new SuspectsSpread(List.of(new SuspectEntry(FIRST.name(), CRASHING)), List.of()));
		loseConnection(again, CRASHING, SECOND);
		advance(Duration.ofSeconds(3));
		assertThat(this.state.isQuarantined(CRASHING, this.now)).isTrue();
	}

	// When a fabric domain fails, a common prompt may have run on several of its targets.
	// Quarantining it would refuse all its callers for a day.
	@Test
	void contentIsNotQuarantinedForAMassCrash() {
		report("t1", "a");
		report("t2", "b");
		report("t3", "c");
		report("t1", "guilty");
		report("t2", "guilty");
		assertThat(this.state.isQuarantined(CRASHING, this.now)).isFalse();
	}

	@Test
	void contentThatAloneRanOnTwoCrashedTargetsIsQuarantined() {
		report("t1", "guilty");
		report("t2", "guilty");
		assertThat(this.state.isQuarantined(CRASHING, this.now)).isTrue();
	}

	// A plain service crashes and restarts within a second. If its next answer were taken
	// as a sign that it never crashed, the content would crash it repeatedly.
	@Test
	void answerOfARestartedTargetDoesNotClearTheContent() {
		loseConnection(start(CRASHING, FIRST), CRASHING, FIRST);
		advance(Duration.ofMillis(300));
		AttemptIdentifier next = start(HARMLESS, FIRST);
		advance(Duration.ofMillis(600));
		feed(new RequestEvent.FirstToken(next));
		assertThat(this.state.isSuspect(CRASHING, this.now)).isTrue();
	}

	@Test
	void answerToAnAttemptStartedBeforeTheLossClearsTheContent() {
		AttemptIdentifier other = start(HARMLESS, FIRST);
		advance(Duration.ofMillis(100));
		loseConnection(start(CRASHING, FIRST), CRASHING, FIRST);
		advance(Duration.ofMillis(600));
		feed(new RequestEvent.FirstToken(other));
		assertThat(this.state.isSuspect(CRASHING, this.now)).isFalse();
	}

	// This node's network link to a group fails while other nodes observe that the group
	// serves. The content that ran there must not be blamed for a crash.
	@Test
	void freshObservationOfTheTargetClearsTheContent() {
		VmName member = VmName.of("v1");
		ServingTarget group = new ServingTarget(FIRST.name(), FIRST.service(), FIRST.dataCentre(), FIRST.address(),
				Optional.empty(), List.of(member));
		loseConnection(start(CRASHING, group), CRASHING, group);
		advance(Duration.ofSeconds(1));
		VmReport report = new VmReport(member, "i1", EngineState.READY, Optional.empty(), false, 0, 0, 0, 0, 1);
		this.view.observations().put(member, new VmObservation(report, this.now));
		advance(Duration.ofSeconds(2));
		assertThat(this.state.isSuspect(CRASHING, this.now)).isFalse();
	}

	// A caller keeps sending its content. If the quarantine expired after a day
	// nevertheless, two more targets would crash.
	@Test
	void quarantineIsExtendedWhileTheContentIsSent() {
		receive(new ContentQuarantined(new QuarantineEntry(CRASHING, Duration.ofHours(24)), List.of()));
		this.now = this.now.plus(Duration.ofHours(23));
		RequestOutcome refused = new RequestOutcome.NotRun(Refusal.of(RefusalReason.QUARANTINED, ""));
		feed(new RequestEvent.Finished(request(CRASHING), Idempotency.REPEATABLE, refused, 0, Optional.empty()));
		this.now = this.now.plus(Duration.ofHours(2));
		assertThat(this.state.isQuarantined(CRASHING, this.now)).isTrue();
	}

	@Test
	void quarantineExpires() {
		receive(new ContentQuarantined(new QuarantineEntry(CRASHING, Duration.ofHours(24)), List.of()));
		advance(Duration.ofHours(24));
		assertThat(this.state.quarantinedCount()).isZero();
	}

	@Test
	void numberOfSuspectsIsLimited() {
		for (int number = 0; number < 5000; number++) {
			report("t1", "c" + number);
		}
		assertThat(this.state.suspectCount()).isEqualTo(4096);
	}

	private void report(String target, String content) {
		receive(new SuspectReported(SampleRequests.SERVICE,
				new SuspectEntry(SampleRequests.target(target).name(), new Fingerprint(content))));
	}

	private void receive(PeerMessage message) {
		feed(new PeerEvent.MessageReceived(FixedView.of("n2").self(), message));
	}

	private AttemptIdentifier start(Fingerprint content, ServingTarget target) {
		AttemptIdentifier attempt = AttemptIdentifier.of(this.view.self().incarnation(), this.attempts++);
		feed(new RequestEvent.AttemptStarted(request(content), attempt, target));
		return attempt;
	}

	private void loseConnection(AttemptIdentifier attempt, Fingerprint content, ServingTarget target) {
		close(attempt, content, target, new AttemptResult.Interrupted(true, "reset"));
	}

	private void close(AttemptIdentifier attempt, Fingerprint content, ServingTarget target, AttemptResult result) {
		feed(new RequestEvent.AttemptClosed(request(content), attempt, target, result));
	}

	private RequestDescription request(Fingerprint content) {
		return SampleRequests.request("n1", content.value().length(), content.value());
	}

	private void advance(Duration duration) {
		this.now = this.now.plus(duration);
		feed(new NodeEvent.Ticked(this.now));
	}

	private void feed(Event event) {
		this.state = QuarantineReducer.create().reduce(this.state, this.now, event, this.view).state();
	}

}
