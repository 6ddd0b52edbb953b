package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which failures show that a node has lost its path to a service.
 */
class TargetReachabilityTests {

	private static final ServiceName DESK = ServingSamples.DESK;

	private static final ServiceName ENGINES = ServingSamples.ENGINES;

	private final TargetDirectory directory = TargetDirectory.create();

	private final TargetReachability reachability = TargetReachability.of("one", this.directory, new Random(1));

	private Instant now = Instant.ofEpochSecond(1000);

	@BeforeEach
	void listTargets() {
		this.directory.replaceAll(Stream
			.concat(IntStream.range(0, 3).mapToObj((number) -> ServingSamples.plain("p" + number)),
					IntStream.range(0, 8).mapToObj((number) -> ServingSamples.engine("e" + number, "d0")))
			.toList(), this.now);
	}

	private List<EntryEffect> failConnect(String... targets) {
		Effects effects = Effects.create();
		for (String target : targets) {
			this.reachability.recordFailedConnect(TargetName.of(target), this.now, effects);
		}
		return effects.all();
	}

	private List<EntryEffect> connect(String target) {
		Effects effects = Effects.create();
		this.reachability.recordConnected(TargetName.of(target), this.now, effects);
		return effects.all();
	}

	private List<EntryEffect> tick() {
		Effects effects = Effects.create();
		this.reachability.tick(this.now, effects);
		return effects.all();
	}

	private void pass(long millis) {
		this.now = this.now.plusMillis(millis);
	}

	private static List<TargetName> probed(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.ProbeTargets.class::isInstance)
			.flatMap((effect) -> ((EntryEffect.ProbeTargets) effect).targets().stream())
			.map(TargetAddress::name)
			.toList();
	}

	private static EntryEffect report(ServiceName... services) {
		return new EntryEffect.Broadcast(new NodeMessage.ServicesUnreachable("one", Set.of(services)));
	}

	// A target is down for long, and requests go on trying it.
	@Test
	void oneTargetThatFailsAgainAndAgainIsNotThePath() {
		for (int failure = 0; failure < 20; failure++) {
			assertThat(failConnect("e1")).isEmpty();
			pass(100);
		}
		assertThat(this.reachability.isInDoubt(ENGINES, this.now)).isFalse();
	}

	// Two engines crash together.
	@Test
	void twoFailedTargetsOnlyRaiseADoubtThatOtherTargetsSettle() {
		assertThat(probed(failConnect("e1", "e2"))).hasSize(3).doesNotContain(TargetName.of("e1"), TargetName.of("e2"));
		assertThat(this.reachability.isInDoubt(ENGINES, this.now)).isTrue();
		connect("e3");
		assertThat(this.reachability.isInDoubt(ENGINES, this.now)).isFalse();
		failConnect("e4", "e5");
		assertThat(this.reachability.isUnreachable(ENGINES)).isFalse();
	}

	@Test
	void threeTargetsWithNoneConnectedInBetweenAreThePath() {
		List<EntryEffect> effects = failConnect("e1", "e2", "e3");
		assertThat(this.reachability.isUnreachable(ENGINES)).isTrue();
		assertThat(this.reachability.isUnreachable(DESK)).isFalse();
		assertThat(effects).contains(report(ENGINES), new EntryEffect.ReportStalledTargets());
		assertThat(probed(effects)).contains(TargetName.of("p0"), TargetName.of("p1"), TargetName.of("p2"));
	}

	// Failures spread over a minute, each of another crashed engine.
	@Test
	void oldFailuresDoNotCount() {
		for (String target : List.of("e1", "e2", "e3", "e4")) {
			failConnect(target);
			pass(600);
		}
		assertThat(this.reachability.isUnreachable(ENGINES)).isFalse();
	}

	// All targets of a small service fail.
	@Test
	void aServiceOfTwoTargetsIsUnreachableWhenBothFail() {
		this.directory.replaceAll(List.of(ServingSamples.plain("p0"), ServingSamples.plain("p1")), this.now);
		failConnect("p0");
		assertThat(this.reachability.isUnreachable(DESK)).isFalse();
		failConnect("p1");
		assertThat(this.reachability.isUnreachable(DESK)).isTrue();
	}

	// Connections that break together raise a doubt, but an answer on another open one
	// shows that the path works.
	@Test
	void lostConnectionsAreForgottenWithAnAnswer() {
		Effects effects = Effects.create();
		this.reachability.recordLostConnection(TargetName.of("e1"), this.now, effects);
		this.reachability.recordLostConnection(TargetName.of("e2"), this.now, effects);
		assertThat(probed(effects.all())).hasSize(3);
		this.reachability.recordAnswer(TargetName.of("e3"));
		assertThat(this.reachability.isInDoubt(ENGINES, this.now)).isFalse();
	}

	// Open connections go on while new ones are refused.
	@Test
	void anAnswerOnAnOpenConnectionDoesNotShowThatNewOnesCanBeOpened() {
		failConnect("e1", "e2");
		this.reachability.recordAnswer(TargetName.of("e4"));
		failConnect("e3");
		assertThat(this.reachability.isUnreachable(ENGINES)).isTrue();
		this.reachability.recordAnswer(TargetName.of("e4"));
		assertThat(this.reachability.isUnreachable(ENGINES)).isTrue();
	}

	@Test
	void anUnreachableServiceIsTestedAndReportedUntilItIsConnected() {
		failConnect("e1", "e2", "e3");
		pass(100);
		assertThat(tick()).isEmpty();
		pass(100);
		assertThat(probed(tick())).hasSize(2);
		pass(800);
		assertThat(tick()).contains(report(ENGINES));
		assertThat(connect("e5")).contains(report());
		assertThat(this.reachability.isUnreachable(ENGINES)).isFalse();
		pass(1000);
		assertThat(tick()).isEmpty();
	}

	// A path that comes and goes: each time, requests that are sent directly again would
	// fail.
	@Test
	void aPathThatWasLostAgainSoonMustProveItselfForLonger() {
		failConnect("e1", "e2", "e3");
		connect("e4");
		pass(500);
		failConnect("e1", "e2", "e3");
		connect("e4");
		assertThat(this.reachability.isUnreachable(ENGINES)).isTrue();
		failConnect("e1");
		connect("e4");
		assertThat(this.reachability.isUnreachable(ENGINES)).isTrue();
		connect("e5");
		assertThat(this.reachability.isUnreachable(ENGINES)).isFalse();
		pass(Duration.ofSeconds(6).toMillis());
		failConnect("e1", "e2", "e3");
		connect("e4");
		assertThat(this.reachability.isUnreachable(ENGINES)).isFalse();
	}

	@Test
	void nothingIsSentWhileAllIsWell() {
		for (int second = 0; second < 10; second++) {
			assertThat(connect("e" + second % 8)).isEmpty();
			assertThat(tick()).isEmpty();
			pass(1000);
		}
	}

	// Everything hangs, and no connection has failed yet.
	@Test
	void silenceOfAllStreamsIsADoubtThatIsTestedAtOnce() {
		Effects effects = Effects.create();
		this.reachability.recordSilence(this.now, effects);
		assertThat(probed(effects.all())).hasSize(6);
		assertThat(this.reachability.isInDoubt(DESK, this.now)).isTrue();
		connect("p0");
		assertThat(this.reachability.isInDoubt(DESK, this.now)).isFalse();
	}

}
