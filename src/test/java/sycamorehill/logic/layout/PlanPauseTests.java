package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How often a controller plans.
 */
class PlanPauseTests {

	private static final int ENGINES = 600;

	private static final Instant BEGIN = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private final GroupControl control = GroupControl.of(ServingSamples.settings("one"), this.directory, "one#a",
			BEGIN);

	private final List<TargetEntry> engines = new ArrayList<>();

	@BeforeEach
	void begin() {
		for (int number = 0; number < ENGINES; number++) {
			this.engines.add(ServingSamples.engine("e" + number, "d" + number / 10));
		}
		this.directory.replaceAll(this.engines, BEGIN);
	}

	private List<EntryEffect> tick(Duration after) {
		Effects effects = Effects.begin();
		this.control.tick(
				new GroupControl.Sight(Optional.of(ServingSamples.configuration(1)), (head, now) -> 0, false, false),
				BEGIN.plus(after), effects);
		return effects.all();
	}

	// The first plan asks all engines for their counts of orders.
	private Duration firstPlan() {
		Duration after = Duration.ZERO;
		while (tick(after).stream().noneMatch(EntryEffect.ReadReport.class::isInstance)) {
			this.control.leaseAnswered(new LeaseAnswer.Present(new Lease("one#a", 1, 5), true), BEGIN.plus(after),
					Effects.begin());
			after = after.plusMillis(100);
			assertThat(after).isLessThan(Duration.ofSeconds(20));
		}
		return after;
	}

	private boolean ordersAt(Duration after) {
		return tick(after).stream().anyMatch(EntryEffect.SendOrder.class::isInstance);
	}

	// Hundreds of engines answer in the same second. A controller that plans anew after
	// each answer is behind by seconds, and calls of its own time out meanwhile.
	@Test
	void aControllerOfManyEnginesDoesNotPlanAfterEachAnswer() {
		Duration first = firstPlan();
		EngineReport report = new EngineReport(0, Set.of(), Optional.empty());
		this.engines
			.forEach((engine) -> this.control.reportRead(engine.name(), report, BEGIN.plus(first), Effects.begin()));
		assertThat(ordersAt(first.plusMillis(5))).isFalse();
		assertThat(ordersAt(first.plusMillis(59))).isFalse();
		assertThat(ordersAt(first.plusMillis(60))).isTrue();
	}

}
