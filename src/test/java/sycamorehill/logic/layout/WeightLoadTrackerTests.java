package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the limit on the loads from the weight store that start within a window, over all
 * engines.
 */
class WeightLoadTrackerTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final Duration WINDOW = Duration.ofSeconds(5);

	private static final EngineParameters PARAMETERS = ServingSamples.engineFigures();

	private static final ModelParameters MODEL = PARAMETERS.models().get(0);

	/** Loads that the users allow to start in a window: 1.1 times the rate, and 3. */
	private static final int ALLOWED_LOADS = (int) (PARAMETERS.loadsPerSecond() * WINDOW.toSeconds() * 1.1 + 3);

	private int lastEngine;

	// Starts loads each 10 ms, as many as the controller allows. Each is done at once, so
	// that only the window limits them.
	private int startLoads(int recentControllers, boolean done, Instant from, Duration time) {
		StartupPhase phase = StartupPhase.of(ServingSamples.settings("one"), START.minusSeconds(60));
		phase.recordTraffic(START.minusSeconds(30));
		WeightLoadTracker tracker = WeightLoadTracker.of(LoadBudget.of(WINDOW), phase);
		tracker.clear(recentControllers);
		int started = 0;
		for (Instant now = from; now.isBefore(from.plus(time)); now = now.plusMillis(10)) {
			while (tracker.mayStart(true, PARAMETERS, now)) {
				String engine = "e" + this.lastEngine++;
				tracker.recordStarted(ServingSamples.engine(engine, "d0"), MODEL, now);
				if (done) {
					tracker.recordRefused(ServingSamples.engine(engine, "d0").name());
				}
				started++;
			}
		}
		return started;
	}

	@Test
	void oneControllerKeepsToTheLimit() {
		assertThat(startLoads(0, true, START, WINDOW)).isBetween(20, ALLOWED_LOADS);
	}

	@Test
	void aControllerThatTakesOverKeepsToTheLimitWithTheOneBefore() {
		int started = startLoads(0, false, START, Duration.ofMillis(2200));
		started += startLoads(1, false, START.plusMillis(2200), Duration.ofMillis(2800));
		assertThat(started).isLessThanOrEqualTo(ALLOWED_LOADS);
	}

	// The process of the controller is killed again and again, and takes the lease anew
	// each time.
	@ParameterizedTest
	@ValueSource(ints = { 3, 4 })
	void controllersThatFollowEachOtherKeepToTheLimitTogether(int controllers) {
		Duration each = WINDOW.dividedBy(controllers);
		int started = startLoads(0, false, START, each);
		for (int next = 1; next < controllers; next++) {
			started += startLoads(next, false, START.plus(each.multipliedBy(next)), each);
		}
		assertThat(started).isLessThanOrEqualTo(ALLOWED_LOADS);
	}

}
