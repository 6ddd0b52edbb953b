package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.EvacuatedDataCentres;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which state of the evacuations one node adopts and sends. The node under test is
 * "b", which has listed none at revision 100.
 */
class EvacuationsTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final DataCentreName SOUTH = DataCentreName.of("south");

	private static final Duration EVACUATION_TIME = Duration.ofSeconds(5);

	/** Maximum time from the selection of a target until the request reaches it. */
	private static final Duration MAXIMUM_CONNECT_TIME = Duration.ofMillis(300);

	private static final Duration TICK = Duration.ofMillis(100);

	/** Time after which a call fails that doesn't wait in the store. */
	private static final Duration CALL_TIME = Duration.ofMillis(600);

	private final Instant start = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	@BeforeEach
	void setUp() {
		create(ServingSamples.settings("b").withEvacuationTime(EVACUATION_TIME));
		accept(new EntryEvent.EvacuationsListed(List.of(), 100), 0);
	}

	private void create(EntrySettings settings) {
		this.node = EntryReducer.of(settings, "b#1", new Random(1), this.start);
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("a", 7101), ServingSamples.node("c", 7103))), 0);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 0);
		accept(new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1")), 100), 0);
	}

	private List<EntryEffect> accept(EntryEvent event, long millis) {
		return this.node.accept(event, this.start.plusMillis(millis));
	}

	private List<EntryEffect> receive(String sender, EvacuatedDataCentres evacuations, long millis) {
		return accept(new EntryEvent.MessageReceived(new NodeMessage.StoreUpdate(sender, NORTH, 5, 1, 100, 100, 100,
				List.of(), Optional.empty(), Duration.ZERO)
			.withEvacuations(Optional.of(evacuations))), millis);
	}

	private static EvacuatedDataCentres state(long revision, DataCentreName... names) {
		return new EvacuatedDataCentres(Set.of(names), Map.of(), revision);
	}

	private static List<NodeMessage.StoreUpdate> updates(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.filter(NodeMessage.StoreUpdate.class::isInstance)
			.map(NodeMessage.StoreUpdate.class::cast)
			.toList();
	}

	private static List<String> logged(List<EntryEffect> effects, LogEvent event) {
		return effects.stream()
			.filter(EntryEffect.Log.class::isInstance)
			.map((effect) -> ((EntryEffect.Log) effect).line())
			.filter((line) -> line.event() == event)
			.map(LogLine::detail)
			.toList();
	}

	private static EntryEvent change(DataCentreName name, boolean evacuated, long revision) {
		return new EntryEvent.EvacuationsChanged(List.of(new EvacuationChange(name, evacuated)), revision);
	}

	@Test
	void theReaderSendsAChangeAtOnceToTheNodesThatItReadsFor() {
		assertThat(updates(accept(change(SOUTH, true, 103), 200)))
			.extracting((update) -> update.evacuations().orElseThrow())
			.isNotEmpty()
			.allMatch(state(103, SOUTH)::equals);
		assertThat(this.node.evacuatedDataCentres()).isEqualTo(1);
	}

	// Updates overtake each other, and a second reader may be behind the first one.
	@Test
	void anOlderStateNeverReplacesANewerOne() {
		List<EntryEffect> begun = receive("a", state(103, SOUTH), 100);
		assertThat(logged(begun, LogEvent.EVACUATION_BEGUN))
			.containsExactly("data-centre=south revision=103 told-by=a");
		receive("a", state(102), 110);
		receive("c", state(101, NORTH), 120);
		assertThat(this.node.evacuatedDataCentres()).isEqualTo(1);
		List<EntryEffect> ended = receive("a", state(104), 130);
		assertThat(logged(ended, LogEvent.EVACUATION_ENDED))
			.containsExactly("data-centre=south revision=104 told-by=a");
	}

	// The store answers from an older copy, or before another node's update arrived.
	@Test
	void anOlderAnswerOfTheStoreChangesNothingAndMakesNoReader() {
		receive("c", state(300, SOUTH), 100);
		accept(new EntryEvent.EvacuationsListed(List.of(NORTH), 250), 200);
		assertThat(this.node.evacuatedDataCentres()).isEqualTo(1);
		accept(change(SOUTH, false, 260), 2000);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 2000);
		assertThat(updates(accept(new EntryEvent.TargetsChanged(List.of(), 100, 310), 2000))).isEmpty();
		assertThat(updates(accept(new EntryEvent.Ticked(), 2050))).isEmpty();
		assertThat(updates(accept(new EntryEvent.EvacuationsChanged(List.of(), 310), 2100))).isNotEmpty();
	}

	// The calls for targets and configurations are answered, and that for evacuations is
	// not. If the node kept sending updates, nobody would read the evacuations.
	@Test
	void aNodeWhoseCallForEvacuationsHangsOrFailsIsNoReader() {
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 1600);
		assertThat(updates(accept(new EntryEvent.TargetsChanged(List.of(), 100, 102), 1640))).isNotEmpty();
		assertThat(updates(accept(new EntryEvent.Ticked(), 1950))).isEmpty();
		accept(new EntryEvent.EvacuationsChanged(List.of(), 103), 2000);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 2000);
		accept(new EntryEvent.TargetsChanged(List.of(), 102, 103), 2000);
		assertThat(updates(accept(new EntryEvent.Ticked(), 2300))).isNotEmpty();
		accept(new EntryEvent.EvacuationsUnreachable(), 2400);
		assertThat(updates(accept(new EntryEvent.Ticked(), 2700))).isEmpty();
	}

	@Test
	void aCallWaitsInTheStoreOnlyAfterOneWasAnswered() {
		assertThat(this.node.evacuationsWait(this.start.plusMillis(100))).isEqualTo(Duration.ofMillis(1250));
		accept(new EntryEvent.EvacuationsUnreachable(), 200);
		assertThat(this.node.evacuationsWait(this.start.plusMillis(200))).isZero();
	}

	// A reader of an earlier version sends no evacuations.
	@Test
	void readsTheEvacuationsItselfIfTheReaderSendsNone() {
		accept(new EntryEvent.MessageReceived(new NodeMessage.StoreUpdate("a", NORTH, 5, 1, 100, 100, 100, List.of(),
				Optional.empty(), Duration.ZERO)), 100);
		assertThat(this.node.reliesOnReader(this.start.plusMillis(110))).isTrue();
		assertThat(this.node.receivesEvacuations(this.start.plusMillis(110))).isFalse();
		receive("a", state(100), 120);
		assertThat(this.node.receivesEvacuations(this.start.plusMillis(130))).isTrue();
	}

	// An evacuation that began and ended between two updates: its targets may be cold.
	@Test
	void anEndThatWasMissedIsNoticedOnceByItsRevision() {
		List<EntryEffect> effects = receive("a", new EvacuatedDataCentres(Set.of(), Map.of(SOUTH, 105L), 106), 100);
		assertThat(logged(effects, LogEvent.EVACUATION_ENDED)).hasSize(1);
		effects = receive("a", new EvacuatedDataCentres(Set.of(), Map.of(SOUTH, 105L), 107), 200);
		assertThat(logged(effects, LogEvent.EVACUATION_ENDED)).isEmpty();
	}

	// A list replaces the history that the store no longer holds.
	@Test
	void aListAfterAGapEndsWhatItDoesNotContain() {
		accept(change(SOUTH, true, 103), 100);
		List<EntryEffect> effects = accept(new EntryEvent.EvacuationsListed(List.of(NORTH), 900), 200);
		assertThat(logged(effects, LogEvent.EVACUATION_BEGUN)).hasSize(1);
		assertThat(logged(effects, LogEvent.EVACUATION_ENDED)).hasSize(1);
		assertThat(updates(effects).get(0).evacuations().orElseThrow())
			.isEqualTo(new EvacuatedDataCentres(Set.of(NORTH), Map.of(SOUTH, 900L), 900));
	}

	@Test
	void logsAnUnknownNameOnceWhileItsObjectIsThere() {
		DataCentreName wrong = DataCentreName.of("nroth");
		assertThat(logged(accept(change(wrong, true, 103), 100), LogEvent.EVACUATION_UNKNOWN)).hasSize(1);
		assertThat(logged(accept(new EntryEvent.EvacuationsListed(List.of(wrong, SOUTH), 104), 200),
				LogEvent.EVACUATION_UNKNOWN))
			.isEmpty();
		assertThat(this.node.evacuatedDataCentres()).isEqualTo(1);
		accept(change(wrong, false, 105), 300);
		assertThat(logged(accept(change(wrong, true, 106), 400), LogEvent.EVACUATION_UNKNOWN)).hasSize(1);
	}

	// Earlier deployments name no time for evacuations.
	@Test
	void withoutTheSettingUpdatesAreAsBeforeAndEvacuationsHaveNoEffect() {
		create(ServingSamples.settings("b"));
		assertThat(updates(accept(new EntryEvent.Ticked(), 300))).allMatch((update) -> update.evacuations().isEmpty())
			.isNotEmpty();
		List<EntryEffect> effects = receive("a", state(103, NORTH), 400);
		assertThat(effects).noneMatch(EntryEffect.AdvanceEvacuationRevision.class::isInstance);
		assertThat(this.node.evacuatedDataCentres()).isZero();
	}

	// The reader's last call, its last update, and a first call of the next reader that
	// is lost: all together must take less than the time for an evacuation.
	@Test
	void allStepsTogetherStayUnderTheTimeForAnEvacuation() {
		Duration claim = this.node.evacuationsWait(this.start).plus(Evacuations.ANSWER_TIME);
		Duration lostCall = CALL_TIME.plus(TICK);
		assertThat(claim.plus(StoreRelay.LOCAL_UPDATE_VALIDITY)
			.plus(TICK)
			.plus(lostCall)
			.plus(CALL_TIME)
			.plus(MAXIMUM_CONNECT_TIME)).isEqualTo(Duration.ofMillis(4750)).isLessThan(EVACUATION_TIME);
	}

}
