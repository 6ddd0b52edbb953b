package sycamorehill.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.admission.FakeNodeView;
import sycamorehill.logic.admission.RequestFixtures;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.target.ServingTarget;

import static org.assertj.core.api.Assertions.assertThat;

class TargetChooserTests {

	private static final Instant START = Instant.EPOCH.plusSeconds(100);

	private final FakeNodeView view = FakeNodeView.of("n", "here");

	private final RoutingReducer reducer = RoutingReducer.create();

	private RoutingState state = RoutingState.initial();

	private Instant now = START;

	private boolean samePrompt;

	@Test
	void withoutTargetsNoneIsChosen() {
		for (TargetChooser chooser : List.of(TargetChooser.random(), TargetChooser.twoChoices(),
				TargetChooser.leastOutstanding(), TargetChooser.lowestPredictedLatency())) {
			assertThat(chooser.choose(List.of(), context(1))).isEmpty();
		}
	}

	@Test
	void aLessLoadedTargetIsChosen() {
		ServingTarget busy = target(0, "here", 20, 0);
		ServingTarget idle = target(1, "here", 2, 0);
		assertThat(choose(1, busy, idle)).isEqualTo(idle);
	}

	/**
	 * Guards against sending one request after another to a target whose last report
	 * shows it idle. The requests would all wait there until the next report, beside idle
	 * targets.
	 */
	@Test
	void ownRequestsSinceTheReportCount() {
		ServingTarget first = target(0, "here", 3, 0);
		ServingTarget second = target(1, "here", 4, 0);
		this.now = START.plusMillis(50);
		start(1, first);
		start(2, first);
		assertThat(choose(3, first, second)).isEqualTo(second);
	}

	@Test
	void ownRequestsThatEndedSinceTheReportDoNotCount() {
		ServingTarget first = target(0, "here", 0, 0);
		start(1, first);
		start(2, first);
		this.now = START.plusMillis(10);
		first = target(0, "here", 2, 0);
		ServingTarget second = target(1, "here", 1, 0);
		this.now = START.plusMillis(50);
		end(1, first);
		end(2, first);
		assertThat(choose(3, first, second)).isEqualTo(first);
	}

	@Test
	void theLocalDataCentreIsChosenWhileItsWaitIsShort() {
		ServingTarget local = target(0, "here", 2, 0);
		ServingTarget remote = target(1, "there", 0, 0);
		assertThat(choose(1, local, remote)).isEqualTo(local);
	}

	@Test
	void aLongWaitSpillsOverToARemoteDataCentre() {
		ServingTarget local = target(0, "here", 16, 30);
		ServingTarget remote = target(1, "there", 0, 0);
		assertThat(choose(1, local, remote)).isEqualTo(remote);
	}

	@Test
	void aFullTargetIsAvoidedEvenIfItRunsFewerRequests() {
		ServingTarget full = target(0, "here", 4, 1);
		ServingTarget other = target(1, "here", 6, 0);
		assertThat(choose(1, full, other)).isEqualTo(other);
	}

	/**
	 * Guards against a slow target that receives as many requests as the others. It
	 * answers eight times slower than they do under the same load, which only its own
	 * ratio shows.
	 */
	@Test
	void aTargetSlowerThanPredictedIsAvoided() {
		ServingTarget slow = target(0, "here", 0, 0);
		ServingTarget other = target(1, "here", 3, 0);
		for (long number = 1; number <= 5; number++) {
			start(number, slow);
			this.now = this.now.plusMillis(400);
			this.state = this.reducer
				.reduce(this.state, this.now, new RequestEvent.FirstToken(attempt(number)), this.view)
				.state();
			end(number, slow);
		}
		assertThat(choose(9, slow, other)).isEqualTo(other);
	}

	@Test
	void aPromptIsSentToTheTargetThatGotItsPrefix() {
		this.samePrompt = true;
		ServingTarget other = target(0, "here", 1, 0);
		ServingTarget prefixTarget = target(1, "here", 2, 0);
		start(1, prefixTarget);
		assertThat(choose(2, other, prefixTarget)).isEqualTo(prefixTarget);
	}

	/**
	 * Guards against one target taking the whole load when all callers share a long
	 * prefix.
	 */
	@Test
	void aCachedPrefixDoesNotAttractRequestsToAnOverloadedTarget() {
		this.samePrompt = true;
		ServingTarget other = target(0, "here", 1, 0);
		ServingTarget prefixTarget = target(1, "here", 12, 0);
		start(1, prefixTarget);
		assertThat(choose(2, other, prefixTarget)).isEqualTo(other);
	}

	@Test
	void equallyLoadedTargetsAreAllChosen() {
		ServingTarget one = target(0, "here", 1, 0);
		ServingTarget other = target(1, "here", 1, 0);
		Set<ServingTarget> chosen = new HashSet<>();
		for (long number = 1; number <= 40; number++) {
			chosen.add(choose(number, one, other));
		}
		assertThat(chosen).hasSize(2);
	}

	@Test
	void theSameStateAndRequestGiveTheSameChoice() {
		List<ServingTarget> targets = new ArrayList<>();
		for (int number = 0; number < 30; number++) {
			targets.add(target(number, "here", 1, 0));
		}
		assertThat(TargetChooser.lowestPredictedLatency().choose(targets, context(7)))
			.isEqualTo(TargetChooser.lowestPredictedLatency().choose(targets, context(7)));
	}

	private ServingTarget choose(long number, ServingTarget... targets) {
		return TargetChooser.lowestPredictedLatency().choose(List.of(targets), context(number)).orElseThrow();
	}

	private RouteContext context(long number) {
		return new RouteContext(request(number), this.state, this.view, this.now);
	}

	private RequestDescription request(long number) {
		RequestDescription plain = RequestFixtures.chat(number, "w", this.now);
		long first = this.samePrompt ? 1 : 10 * number;
		return new RequestDescription(plain.identifier(), plain.keyHash(), plain.service(), plain.method(),
				plain.path(), 2000, plain.maximumTokens(), List.of(first, first + 1, first + 2), plain.priority(),
				plain.deadline(), plain.orderKey(), plain.fingerprint());
	}

	private void start(long number, ServingTarget target) {
		this.state = this.reducer
			.reduce(this.state, this.now, new RequestEvent.AttemptStarted(request(number), attempt(number), target),
					this.view)
			.state();
	}

	private void end(long number, ServingTarget target) {
		this.state = this.reducer
			.reduce(this.state, this.now,
					new RequestEvent.AttemptClosed(request(number), attempt(number), target,
							new AttemptResult.Completed(1, Optional.empty())),
					this.view)
			.state();
	}

	private static AttemptIdentifier attempt(long number) {
		return AttemptIdentifier.of(NodeIncarnation.of(NodeName.of("n"), 1), number);
	}

	private ServingTarget target(int number, String dataCentre, int running, int queued) {
		VmName vm = VmName.of("vm-" + number);
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("set"), number), 1);
		VmReport report = new VmReport(vm, "life", EngineState.READY, Optional.of(group), false, running, queued, 0, 0,
				1);
		this.view.withObservation(new VmObservation(report, this.now.plus(Duration.ofMillis(1))));
		return new ServingTarget(group.name().targetName(), RequestFixtures.CHAT, DataCentreName.of(dataCentre),
				Address.of("127.0.0.1", 1), Optional.of(group), List.of(vm));
	}

}
