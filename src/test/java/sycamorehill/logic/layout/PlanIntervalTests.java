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
 * Tests how often a controller makes a plan.
 */
class PlanIntervalTests {

	private static final int ENGINES = 600;

	private static final Instant START = Instant.ofEpochSecond(1000);

	private final TargetDirectory directory = TargetDirectory.create();

	private final GroupController control = GroupController.of(ServingSamples.settings("one"), this.directory, "one#a",
			START);

	private final List<TargetEntry> engines = new ArrayList<>();

	@BeforeEach
	void registerEngines() {
		for (int number = 0; number < ENGINES; number++) {
			this.engines.add(ServingSamples.engine("e" + number, "d" + number / 10));
		}
		this.directory.replaceAll(this.engines, START);
	}

	private List<EntryEffect> tick(Duration after) {
		Effects effects = Effects.create();
		this.control.tick(new GroupController.NodeStatus(Optional.of(ServingSamples.configuration(1)), (head, now) -> 0,
				false, false, Duration.ZERO), START.plus(after), effects);
		return effects.all();
	}

	// The first plan reads the command counts of all engines.
	private Duration timeOfFirstPlan() {
		Duration after = Duration.ZERO;
		while (tick(after).stream().noneMatch(EntryEffect.ReadReport.class::isInstance)) {
			this.control.handleLeaseAnswer(new LeaseAnswer.Present(new Lease("one#a", 1, 5), true), START.plus(after),
					Effects.create());
			after = after.plusMillis(100);
			assertThat(after).isLessThan(Duration.ofSeconds(20));
		}
		return after;
	}

	private boolean sendsCommandsAt(Duration after) {
		return tick(after).stream().anyMatch(EntryEffect.SendCommand.class::isInstance);
	}

	// Hundreds of engines answer in the same second. A controller that makes a plan after
	// each answer falls behind by seconds, and its own calls time out meanwhile.
	@Test
	void aControllerOfManyEnginesDoesNotPlanAfterEachReport() {
		Duration first = timeOfFirstPlan();
		EngineReport report = new EngineReport(0, Set.of(), Optional.empty());
		this.engines
			.forEach((engine) -> this.control.handleReport(engine.name(), report, START.plus(first), Effects.create()));
		assertThat(sendsCommandsAt(first.plusMillis(5))).isFalse();
		assertThat(sendsCommandsAt(first.plusMillis(59))).isFalse();
		assertThat(sendsCommandsAt(first.plusMillis(60))).isTrue();
	}

}
