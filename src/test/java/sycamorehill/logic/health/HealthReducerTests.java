package sycamorehill.logic.health;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.TargetLeaving;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.support.FixedView;
import sycamorehill.support.SampleRequests;

import static org.assertj.core.api.Assertions.assertThat;

class HealthReducerTests {

	private static final AttemptResult REFUSED_CONNECTION = new AttemptResult.NotSent("refused");

	private static final AttemptResult LEAVING = new AttemptResult.RefusedBeforeRunning(true, Duration.ZERO, "");

	private static final Duration QUICK = Duration.ofMillis(50);

	private static final Duration SLOW = Duration.ofMillis(900);

	private final HealthHarness run = new HealthHarness();

	private final List<ServingTarget> targets = IntStream.range(0, 6)
		.mapToObj((number) -> SampleRequests.target("t" + number))
		.toList();

	private final ServingTarget first = this.targets.get(0);

	@Test
	void failedConnectionsEjectATarget() {
		fail(this.first);
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first);
	}

	@Test
	void oneFailedConnectionDoesNotEjectATarget() {
		this.run.end(this.first, REFUSED_CONNECTION);
		assertThat(this.run.usable(this.targets)).contains(this.first);
	}

	@Test
	void ejectedTargetIsTriedAgain() {
		fail(this.first);
		assertThat(this.run.advance(Duration.ofSeconds(1)).usable(this.targets)).contains(this.first);
	}

	@Test
	void repeatedEjectionLastsLonger() {
		fail(this.first);
		this.run.advance(Duration.ofSeconds(1)).end(this.first, REFUSED_CONNECTION).advance(Duration.ofSeconds(1));
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first);
	}

	// A target that receives all waiting requests as soon as it returns is overloaded and
	// fails again.
	@Test
	void returningTargetStartsWithOneRequest() {
		fail(this.first);
		this.run.advance(Duration.ofSeconds(1)).start(this.first);
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first);
	}

	@Test
	void returningTargetReceivesMoreAfterACompleteAnswer() {
		fail(this.first);
		this.run.advance(Duration.ofSeconds(1)).complete(this.first, QUICK).start(this.first);
		assertThat(this.run.usable(this.targets)).contains(this.first);
	}

	// After an outage all targets return together, each with an allowance of one request.
	// Enforcing the allowances would refuse callers although the targets have capacity.
	@Test
	void allowanceIsIgnoredWhenAllTargetsAreAtTheirAllowance() {
		fail(this.first);
		this.run.advance(Duration.ofSeconds(1)).start(this.first);
		assertThat(this.run.usable(List.of(this.first))).containsExactly(this.first);
	}

	// When this node's link to the other data centres fails, every target behind it
	// fails. If all were ejected, callers would be refused although some targets are
	// healthy.
	@Test
	void failuresEjectAtMostTwoThirdsOfTheTargets() {
		this.targets.forEach(this::fail);
		assertThat(this.run.usable(this.targets)).hasSize(2);
	}

	@Test
	void lastTargetIsNeverEjected() {
		fail(this.first);
		assertThat(this.run.usable(List.of(this.first))).containsExactly(this.first);
	}

	@Test
	void stragglerIsEjected() {
		measureAll(1);
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first).hasSize(5);
	}

	@Test
	void noTargetIsAStragglerWhenAllAreSlow() {
		measureAll(this.targets.size());
		assertThat(this.run.usable(this.targets)).hasSize(6);
	}

	@Test
	void atMostAThirdOfTheTargetsIsEjectedForSlowness() {
		List<ServingTarget> nine = IntStream.range(0, 9)
			.mapToObj((number) -> SampleRequests.target("s" + number))
			.toList();
		measure(nine, 4);
		assertThat(this.run.usable(nine)).hasSize(6);
	}

	// A paused target completes no answer, so there is no slow sample. Unless overdue
	// first tokens count, it keeps receiving its share of requests until they time out.
	@Test
	void pausedTargetIsEjectedBeforeItsRequestsTimeOut() {
		measureAll(0);
		IntStream.range(0, 8).forEach((number) -> this.run.start(this.first));
		this.run.advance(Duration.ofSeconds(1)).advance(Duration.ofSeconds(1));
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first);
	}

	@Test
	void targetThatRefusesAsLeavingReceivesNoRequests() {
		this.run.end(this.first, LEAVING);
		assertThat(this.run.usable(List.of(this.first))).isEmpty();
	}

	@Test
	void peersAreNotifiedOfALeavingTargetOnce() {
		FixedView other = FixedView.of("n2");
		this.run.view().live(new LiveNode(other.self(), false, Instant.EPOCH));
		this.run.end(this.first, LEAVING).end(this.first, LEAVING);
		assertThat(this.run.effects().stream().filter(PeerEffect.Send.class::isInstance))
			.containsExactly(new PeerEffect.Send(other.self(), new TargetLeaving(this.first.name(), 0)));
	}

	@Test
	void targetReportedLeavingByAPeerReceivesNoRequests() {
		receive(new TargetLeaving(this.first.name(), 0));
		assertThat(this.run.usable(this.targets)).doesNotContain(this.first);
	}

	// A group is formed again after a leaving member was replaced. If the leaving notice
	// of the earlier generation applied to the new one, the group would receive no
	// requests.
	@Test
	void leavingNoticeOfAnEarlierGenerationDoesNotAffectALaterOne() {
		GroupName name = GroupName.of(GroupSetName.of("s"), 0);
		receive(new TargetLeaving(name.targetName(), 1));
		assertThat(this.run.usable(List.of(group(name, 2)))).hasSize(1);
		assertThat(this.run.usable(List.of(group(name, 1)))).isEmpty();
	}

	@Test
	void cancelledAttemptDoesNotCountAsAFailure() {
		AttemptResult cancelled = new AttemptResult.Cancelled("caller gone");
		this.run.end(this.first, cancelled).end(this.first, cancelled);
		assertThat(this.run.usable(this.targets)).contains(this.first);
	}

	private ServingTarget group(GroupName name, long generation) {
		return new ServingTarget(name.targetName(), SampleRequests.SERVICE, this.first.dataCentre(),
				this.first.address(), Optional.of(GroupIdentity.of(name, generation)), List.of());
	}

	private void receive(TargetLeaving message) {
		this.run.feed(new PeerEvent.MessageReceived(FixedView.of("n2").self(), message));
	}

	private void fail(ServingTarget target) {
		this.run.end(target, REFUSED_CONNECTION).end(target, REFUSED_CONNECTION);
	}

	private void measureAll(int slowOnes) {
		measure(this.targets, slowOnes);
	}

	private void measure(List<ServingTarget> all, int slowOnes) {
		for (int round = 0; round < 8; round++) {
			List<AttemptIdentifier> attempts = all.stream().map(this.run::start).toList();
			this.run.advance(QUICK);
			answer(all, attempts, slowOnes, all.size());
			this.run.advance(SLOW.minus(QUICK));
			answer(all, attempts, 0, slowOnes);
		}
	}

	private void answer(List<ServingTarget> all, List<AttemptIdentifier> attempts, int from, int to) {
		for (int number = from; number < to; number++) {
			this.run.close(all.get(number), attempts.get(number), new AttemptResult.Completed(1, Optional.empty()));
		}
	}

}
