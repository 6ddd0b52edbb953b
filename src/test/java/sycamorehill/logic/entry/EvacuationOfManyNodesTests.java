package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.log.LogEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when 85 nodes stop sending requests to a data centre that is evacuated, whatever
 * happens to the node that reads the store for all.
 */
class EvacuationOfManyNodesTests {

	private static final Duration WARM_UP = Duration.ofSeconds(4);

	private static final Duration BOUND = EvacuationWorld.EVACUATION_TIME.minus(EvacuationWorld.MAXIMUM_CONNECT_TIME);

	private final EvacuationWorld world = new EvacuationWorld();

	private void checkBound(String dataCentre, Instant acknowledged, List<EvacuationWorld.Node> exempt) {
		this.world.run(Duration.ofSeconds(7));
		Duration latest = Duration.ZERO;
		for (EvacuationWorld.Node node : this.world.nodes()) {
			if (node.isRunning() && !exempt.contains(node)) {
				assertThat(node.evacuated()).as(node + " knows the evacuation").isEqualTo(1);
				Duration sent = Duration.between(acknowledged, node.lastSent(dataCentre));
				latest = (sent.compareTo(latest) > 0) ? sent : latest;
			}
		}
		assertThat(latest).as("last request after the acknowledgement").isLessThan(BOUND);
	}

	// Guards against an evacuation that waits for the next update or for a long poll.
	@ParameterizedTest
	@ValueSource(ints = { 0, 130, 390, 730, 1110 })
	void allNodesKnowAnEvacuationWithinASecondWhenNothingIsDisturbed(int millis) {
		this.world.run(WARM_UP.plusMillis(millis));
		assertThat(this.world.nodes()).allMatch((node) -> node.isReady() && node.evacuated() == 0);
		Instant acknowledged = this.world.evacuate("east");
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.evacuated() == 1);
		assertThat(this.world.nodes())
			.allMatch((node) -> node.lastSent("east").isBefore(acknowledged.plus(Duration.ofSeconds(1))));
		Instant ended = this.world.endEvacuation("east");
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.evacuated() == 0);
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).filteredOn((node) -> node.dataCentre().equals("east"))
			.allMatch((node) -> node.lastSent("east").isAfter(ended));
	}

	// Each call to the store is priced: one node makes four in the time for an
	// evacuation.
	@Test
	void oneNodeReadsTheEvacuationsForAll() {
		this.world.run(WARM_UP);
		int before = this.world.evacuationCalls();
		this.world.run(Duration.ofSeconds(20));
		assertThat(this.world.evacuationCalls() - before).isBetween(14, 17);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "180, 0", "410, 0", "690, 0", "930, 0", "1190, 0", "0, 0.2", "410, 0.2", "930, 0.2" })
	void theBoundHoldsIfOnlyTheReadersCallForEvacuationsHangs(int millis, double lossShare) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.loseMessages(lossShare);
		this.world.reader().hangEvacuations();
		checkBound("east", this.world.evacuate("east"), List.of());
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "180, 0", "410, 0", "690, 0", "930, 0", "1190, 0", "0, 0.2", "410, 0.2", "930, 0.2" })
	void theBoundHoldsIfTheReaderIsCutOffFromTheStore(int millis, double lossShare) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.loseMessages(lossShare);
		this.world.reader().cutStore(true);
		checkBound("east", this.world.evacuate("east"), List.of());
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "180, 0", "410, 0", "690, 0", "930, 0", "0, 0.2", "410, 0.2", "930, 0.2" })
	void theBoundHoldsIfTheReaderIsKilled(int millis, double lossShare) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.loseMessages(lossShare);
		this.world.reader().kill();
		checkBound("east", this.world.evacuate("east"), List.of());
	}

	// The frozen node itself is connected to nobody.
	@ParameterizedTest
	@CsvSource({ "0, 0", "410, 0", "930, 0", "0, 0.2", "410, 0.2" })
	void theBoundHoldsIfTheReaderIsFrozen(int millis, double lossShare) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.loseMessages(lossShare);
		EvacuationWorld.Node reader = this.world.reader();
		reader.freeze(true);
		Instant acknowledged = this.world.evacuate("east");
		this.world.run(Duration.ofSeconds(3));
		reader.freeze(false);
		checkBound("east", acknowledged, List.of(reader));
		assertThat(reader.evacuated()).isEqualTo(1);
	}

	// The store's answers to the first calls of all others are lost as well.
	@ParameterizedTest
	@ValueSource(ints = { 0, 180, 410, 690, 930, 1190 })
	void theBoundHoldsIfAlsoTheFirstCallOfEachOtherNodeIsLost(int millis) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.nodes().forEach((node) -> node.loseNextEvacuationCalls(1));
		this.world.reader().hangEvacuations();
		checkBound("east", this.world.evacuate("east"), List.of());
	}

	// The reader and the first nodes of the other data centres, which relay to theirs.
	@ParameterizedTest
	@ValueSource(ints = { 0, 410, 930 })
	void theBoundHoldsIfThreeNodesAreKilledOneAfterTheOther(int millis) {
		this.world.run(WARM_UP.plusMillis(millis));
		this.world.loseMessages(0.1);
		this.world.reader().kill();
		Instant acknowledged = this.world.evacuate("east");
		List<EvacuationWorld.Node> nodes = List.copyOf(this.world.nodes());
		nodes.get(1).kill();
		this.world.run(Duration.ofMillis(700));
		nodes.get(2).kill();
		checkBound("east", acknowledged, List.of());
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 10, 50, 200, 700 })
	void aNodeThatStartsMeanwhileSendsNothingThereOnceItIsReady(int millis) {
		this.world.run(WARM_UP);
		Instant acknowledged = this.world.evacuate("east");
		this.world.run(Duration.ofMillis(millis));
		EvacuationWorld.Node started = this.world.start(40);
		assertThat(started.isReady()).isFalse();
		this.world.run(Duration.ofMillis(500));
		assertThat(started.isReady()).isTrue();
		checkBound("east", acknowledged, List.of());
		assertThat(started.lastSent("east")).isEqualTo(Instant.MIN);
	}

	// The kind `evacuations` can't be read: the node must not stay unready for it.
	@Test
	void aStartingNodeWaitsForTheEvacuationsForNoLongerThanASecond() {
		this.world.run(WARM_UP);
		this.world.nodes().forEach((node) -> node.kill());
		EvacuationWorld.Node started = this.world.start(40);
		started.hangEvacuations();
		this.world.run(NodeStage.MAXIMUM_EVACUATIONS_WAIT.minusMillis(100));
		assertThat(started.isReady()).isFalse();
		this.world.run(Duration.ofMillis(300));
		assertThat(started.isReady()).isTrue();
		assertThat(started.logged(LogEvent.STORE_CONTACT)).anyMatch((line) -> line.contains("evacuations"));
	}

	@Test
	void twoEvacuationsAtOnceBothHold() {
		this.world.run(WARM_UP);
		this.world.evacuate("east");
		Instant second = this.world.evacuate("south");
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.evacuated() == 2);
		this.world.endEvacuation("east");
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.evacuated() == 1);
		assertThat(this.world.nodes())
			.allMatch((node) -> node.lastSent("south").isBefore(second.plus(Duration.ofSeconds(1))));
	}

	// The update of the start reaches no node, and by the next one it has ended: the
	// targets there may be cold nevertheless.
	@Test
	void aNodeLearnsOfAnEvacuationThatHasEndedBefore() {
		this.world.run(WARM_UP);
		this.world.loseMessages(1);
		this.world.evacuate("east");
		this.world.run(Duration.ofMillis(100));
		this.world.endEvacuation("east");
		this.world.run(Duration.ofMillis(100));
		this.world.loseMessages(0);
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.logged(LogEvent.EVACUATION_ENDED).size() == 1);
	}

	// The store is away from all nodes: no node may forget what it knows.
	@Test
	void anEvacuationStaysInForceWhileTheStoreIsAway() {
		this.world.run(WARM_UP);
		Instant acknowledged = this.world.evacuate("east");
		this.world.run(Duration.ofSeconds(1));
		this.world.nodes().forEach((node) -> node.cutStore(true));
		checkBound("east", acknowledged, List.of());
		assertThat(this.world.nodes()).allMatch((node) -> node.logged(LogEvent.EVACUATION_ENDED).isEmpty());
	}

	@Test
	void anEvacuationOfAnUnknownDataCentreIsLoggedAndChangesNothingElse() {
		this.world.run(WARM_UP);
		this.world.evacuate("esat");
		this.world.evacuate("east");
		this.world.run(Duration.ofSeconds(1));
		assertThat(this.world.nodes()).allMatch((node) -> node.evacuated() == 1);
		assertThat(this.world.reader().logged(LogEvent.EVACUATION_UNKNOWN)).hasSize(1)
			.allMatch((line) -> line.contains("data-centre=esat"));
	}

}
