package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.ModelParameters;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that groups finish their requests when a configuration changes their model. The
 * fleet checks at each step that no engine is taken from a head that serves.
 */
class ChangedModelTests {

	private static final Duration FORMING_TIME = Duration.ofSeconds(150);

	/** Time in which groups of another model or size serve. */
	private static final Duration REFORMING_TIME = Duration.ofSeconds(60);

	private static final ModelParameters TRIPLE = new ModelParameters(ServingSamples.SMALL.name(), 3, 0.5, 0.6,
			Duration.ofSeconds(12), Duration.ofMillis(1100));

	private final FakeFleet fleet = new FakeFleet(1, 4, 10);

	@BeforeEach
	void formGroups() {
		this.fleet.addController("one");
		this.fleet.addController("two");
		this.fleet.run(FORMING_TIME);
		assertThat(this.fleet.countServing(ServingSamples.SMALL)).isPositive();
	}

	private void change(ModelParameters... models) {
		this.fleet.configureModels(List.of(models));
		this.fleet.run(REFORMING_TIME);
		assertThat(this.fleet.interruptedGroups()).isZero();
	}

	// Engines of a removed model are taken for free and join other groups while their
	// heads still answer requests.
	@Test
	void groupsOfARemovedModelFinishTheirRequestsBeforeTheirEnginesAreReused() {
		long before = this.fleet.countServing(ServingSamples.LARGE);
		change(ServingSamples.LARGE);
		assertThat(this.fleet.countServing(ServingSamples.SMALL)).isZero();
		assertThat(this.fleet.countServing(ServingSamples.LARGE)).isGreaterThan(before);
	}

	// The next controller has never seen the model.
	@Test
	void aNewControllerLetsGroupsOfARemovedModelFinishTheirRequests() {
		this.fleet.controller(0).pause(true);
		change(ServingSamples.LARGE);
		assertThat(this.fleet.countServing(ServingSamples.SMALL)).isZero();
	}

	// Groups that serve have fewer members than the new size, and count as broken.
	@Test
	void groupsOfAnotherSizeFinishTheirRequestsBeforeTheirEnginesAreReused() {
		change(ServingSamples.LARGE, TRIPLE);
		assertThat(this.fleet.countServing(ServingSamples.SMALL)).isPositive();
		assertThat(this.fleet.engines()).filteredOn(FakeEngine::isOpen)
			.extracting((head) -> head.members().size())
			.contains(3)
			.doesNotContain(2);
	}

	// The model is back before its groups have ended.
	@Test
	void groupsServeOnWhenTheirModelIsBackAtOnce() {
		long before = this.fleet.countServing(ServingSamples.SMALL);
		this.fleet.configureModels(List.of(ServingSamples.LARGE));
		this.fleet.run(Duration.ofMillis(100));
		change(ServingSamples.LARGE, ServingSamples.SMALL);
		assertThat(this.fleet.countServing(ServingSamples.SMALL)).isGreaterThanOrEqualTo(before);
	}

}
