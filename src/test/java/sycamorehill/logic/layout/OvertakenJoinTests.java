package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests commands to join a group that are overtaken by earlier ones, which were carried
 * out late. The fleet checks at each step that no engine is taken from a serving head.
 */
class OvertakenJoinTests {

	/** Time in which the directory lists what the engines report. */
	private static final Duration SETTLING_TIME = Duration.ofSeconds(60);

	private static final int UNANSWERED_JOINS = 8;

	// Guards against a join, sent again, that takes an engine out of a group which a late
	// join of an earlier controller has completed and which serves by then.
	@ParameterizedTest
	@CsvSource({ "2500,0", "3000,0", "3500,0", "4000,0", "5000,0", "2500,300", "3000,300", "3500,300", "4000,300",
			"5000,300", "2500,1200", "3000,1200", "3500,1200", "4000,1200", "5000,1200" })
	void aMemberThatALateJoinBroughtIntoAGroupStaysInIt(int lateMillis, int listingMillis) {
		for (int second = 0; second < 2; second++) {
			FakeFleet fleet = new FakeFleet(second, 1, 5,
					ServingSamples.withModels(ServingSamples.engineFigures(), List.of(ServingSamples.SMALL)));
			fleet.delayListings(Duration.ofMillis(listingMillis));
			for (int engine = 0; engine < 5; engine++) {
				fleet.engine("e0-" + engine).stage(ServingSamples.SMALL);
			}
			fleet.delayJoins("e0-" + second, joinDelays(Duration.ofMillis(lateMillis)));
			FakeFleet.Controller first = fleet.addController("one");
			fleet.addController("two");
			fleet.runUntilFirstJoin();
			first.pause(true);
			fleet.run(SETTLING_TIME);
			assertThat(fleet.countServing()).as(fleet.describe()).isEqualTo(2);
			assertThat(fleet.interruptedGroups()).isZero();
		}
	}

	// All that the engine gets after the first one stay without an answer as well.
	private static Duration[] joinDelays(Duration first) {
		Duration[] delays = new Duration[UNANSWERED_JOINS];
		Arrays.fill(delays, Duration.ofSeconds(6));
		delays[0] = first;
		return delays;
	}

}
