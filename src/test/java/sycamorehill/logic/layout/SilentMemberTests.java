package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.Membership;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the controller does with groups whose members accept connections and don't
 * answer.
 */
class SilentMemberTests {

	private static final Duration FORMING_TIME = Duration.ofSeconds(150);

	private static final Duration REPORT_DELAY = Duration.ofMillis(500);

	private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

	private final FakeFleet fleet = new FakeFleet(1, 4, 10);

	private final FakeFleet.Controller controller = this.fleet.addController("one");

	private List<FakeEngine> heads() {
		return this.fleet.engines().stream().filter(FakeEngine::isOpen).toList();
	}

	private static List<Optional<Membership>> memberships(List<FakeEngine> engines) {
		return engines.stream().map(FakeEngine::membership).toList();
	}

	private void pause(List<FakeEngine> paused, Duration time) {
		paused.forEach((engine) -> engine.setPaused(true));
		this.fleet.run(REPORT_DELAY);
		heads().forEach((head) -> this.controller.checkMembers(head.name().value()));
		this.fleet.run(time.minus(REPORT_DELAY));
		paused.forEach((engine) -> engine.setPaused(false));
	}

	// Guards against whole groups being disbanded because their heads paused.
	@ParameterizedTest
	@ValueSource(ints = { 1000, 1300, 3000 })
	void groupsWhoseHeadsPauseAreKept(int pauseMillis) {
		this.controller.startTraffic();
		this.fleet.run(FORMING_TIME);
		List<FakeEngine> heads = heads();
		List<Optional<Membership>> before = memberships(heads);
		pause(heads, Duration.ofMillis(pauseMillis));
		this.fleet.run(SETTLING_TIME);
		assertThat(memberships(heads)).isEqualTo(before);
		assertThat(this.fleet.interruptedGroups()).isZero();
	}

	// Guards against whole groups being disbanded because other members paused.
	@Test
	void groupsWhoseOtherMembersPauseAreKept() {
		this.controller.startTraffic();
		this.fleet.run(FORMING_TIME);
		List<FakeEngine> heads = heads();
		List<Optional<Membership>> before = memberships(heads);
		List<FakeEngine> others = heads.stream()
			.map((head) -> this.fleet.engine(head.members().get(1).value()))
			.toList();
		pause(others, Duration.ofMillis(1500));
		this.fleet.run(SETTLING_TIME);
		assertThat(memberships(heads)).isEqualTo(before);
		assertThat(this.fleet.interruptedGroups()).isZero();
	}

	// Guards against a group that never serves again because a member answers no more.
	@Test
	void aGroupWhoseMemberAnswersNoMoreIsReplaced() {
		this.controller.startTraffic();
		this.fleet.run(FORMING_TIME);
		long serving = this.fleet.countServing();
		FakeEngine head = heads().get(0);
		this.fleet.engine(head.members().get(1).value()).setPaused(true);
		this.fleet.run(REPORT_DELAY);
		this.controller.checkMembers(head.name().value());
		this.fleet.run(SETTLING_TIME);
		assertThat(head.isOpen()).isFalse();
		assertThat(this.fleet.countServing()).isGreaterThanOrEqualTo(serving - 1);
	}

	// Guards against a whole group being disbanded because one connection took too long.
	@Test
	void aGroupIsKeptWhenOneConnectionAttemptTimesOut() {
		this.controller.startTraffic();
		this.fleet.run(FORMING_TIME);
		List<FakeEngine> heads = heads();
		List<Optional<Membership>> before = memberships(heads);
		this.controller.failReport(heads.get(0).members().get(1), EngineCommandAnswer.NOT_CONNECTED);
		this.fleet.run(SETTLING_TIME);
		assertThat(memberships(heads)).isEqualTo(before);
		assertThat(this.fleet.interruptedGroups()).isZero();
	}

}
