package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the groups in an evacuated data centre. All engines are in the north.
 */
class GroupsInEvacuatedDataCentreTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final Duration FORMING_TIME = Duration.ofSeconds(150);

	private static FakeFleet fleet() {
		FakeFleet fleet = new FakeFleet(21, 4, 10);
		fleet.addController("one");
		return fleet;
	}

	// Groups that are formed there load weights that their engines may lose again.
	@Test
	void noGroupIsFormedUntilTheEvacuationEnds() {
		FakeFleet fleet = fleet();
		fleet.controller(0).evacuate(Set.of(NORTH));
		fleet.run(FORMING_TIME);
		assertThat(fleet.countServing()).isZero();
		fleet.controller(0).evacuate(Set.of());
		fleet.run(FORMING_TIME);
		assertThat(fleet.countServing()).isPositive();
	}

	// The groups there get no requests, so that their model seems to need fewer engines.
	@Test
	void noGroupIsConvertedUntilTheEvacuationEnds() {
		FakeFleet fleet = fleet();
		fleet.run(FORMING_TIME);
		fleet.controller(0).startTraffic();
		String formed = fleet.describe();
		long small = fleet.countServing(ServingSamples.SMALL);
		fleet.controller(0).evacuate(Set.of(NORTH));
		fleet.setRequests(Map.of(ServingSamples.SMALL.name(), 144, ServingSamples.LARGE.name(), 12));
		fleet.run(Duration.ofSeconds(90));
		assertThat(fleet.describe()).isEqualTo(formed);
		fleet.controller(0).evacuate(Set.of());
		fleet.run(Duration.ofSeconds(90));
		assertThat(fleet.countServing(ServingSamples.SMALL)).isGreaterThan(small);
	}

	// The evacuation begins while the hosts of a group load the weights of another model.
	@Test
	void aConversionThatHasBegunIsCancelled() {
		FakeFleet fleet = fleet();
		fleet.run(FORMING_TIME);
		fleet.controller(0).startTraffic();
		long serving = fleet.countServing();
		fleet.setRequests(Map.of(ServingSamples.SMALL.name(), 144, ServingSamples.LARGE.name(), 12));
		fleet.run(Duration.ofSeconds(8));
		fleet.controller(0).evacuate(Set.of(NORTH));
		fleet.run(Duration.ofSeconds(60));
		assertThat(fleet.countServing()).isEqualTo(serving);
	}

	// Removing the model from the configuration would end its groups there otherwise.
	@Test
	void aGroupWhoseModelIsNotConfiguredStaysUntilTheEvacuationEnds() {
		FakeFleet fleet = fleet();
		fleet.run(FORMING_TIME);
		String formed = fleet.describe();
		fleet.controller(0).evacuate(Set.of(NORTH));
		fleet.configureModels(List.of(ServingSamples.SMALL));
		fleet.run(Duration.ofSeconds(30));
		assertThat(fleet.describe()).isEqualTo(formed);
		fleet.controller(0).evacuate(Set.of());
		fleet.run(Duration.ofSeconds(30));
		assertThat(fleet.countServing(ServingSamples.LARGE)).isZero();
	}

	// A group that lost a member can't serve again. Its engines stay free meanwhile.
	@Test
	void aGroupThatLostAMemberIsDisbandedAndNotReplacedThere() {
		FakeFleet fleet = fleet();
		fleet.run(FORMING_TIME);
		long serving = fleet.countServing();
		fleet.controller(0).evacuate(Set.of(NORTH));
		FakeEngine head = fleet.engines().stream().filter(FakeEngine::isOpen).findFirst().orElseThrow();
		fleet.engine(head.members().get(1).value()).restart();
		fleet.run(Duration.ofSeconds(60));
		assertThat(fleet.countServing()).isEqualTo(serving - 1);
		assertThat(head.isOpen()).isFalse();
	}

}
