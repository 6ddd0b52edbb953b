package sycamorehill.entry;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.entry.SilentEngineWorld.Ending;
import sycamorehill.entry.SilentEngineWorld.Result;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates many engines that fall silent together, at few and many nodes.
 */
class SilentEngineSimulationTests {

	private static final long[] PAUSES_MILLIS = { 500, 1000, 1500, 3000 };

	/** Nodes over which a case is played; few nodes play more seeds. */
	private static final int NODES_PLAYED = 24;

	private static Result play(int nodes, double share, Ending ending) {
		Result sum = Result.NONE;
		for (long pause : PAUSES_MILLIS) {
			for (long seed = 1; seed <= Math.max(1, NODES_PLAYED / nodes); seed++) {
				sum = sum.plus(SilentEngineWorld.play(nodes, share, Duration.ofMillis(pause), ending, seed));
			}
		}
		return sum;
	}

	// Guards against answers cut because engines pause, whatever those do that are asked
	// meanwhile.
	@ParameterizedTest
	@CsvSource({ "6, 0.2", "6, 0.6", "6, 1.0", "26, 0.2", "26, 0.6", "26, 1.0", "70, 0.2", "70, 0.6", "70, 1.0" })
	void noAnswerIsCutWhileEnginesPause(int nodes, double share) {
		assertThat(play(nodes, share, Ending.GOES_ON).broken()).isZero();
		assertThat(play(nodes, share, Ending.REFUSES_WAITING).broken()).isZero();
	}

	// Guards against streams that leave silent engines for others that are as silent.
	@ParameterizedTest
	@CsvSource({ "6, 0.2", "26, 0.2", "70, 0.2" })
	void mostSecondAttemptsGoToEnginesThatSend(int nodes, double share) {
		Result result = play(nodes, share, Ending.GOES_ON);
		assertThat(result.retries()).isPositive();
		assertThat(result.retriesAtSilentEngines()).isLessThan((int) (share * result.retries()));
	}

	// Guards against a storm of attempts when all engines of many nodes fall silent.
	@ParameterizedTest
	@CsvSource({ "GOES_ON", "REFUSES_WAITING", "DIES" })
	void theSecondAfterASilenceKeepsToTheRetryBudget(Ending ending) {
		for (long pause : PAUSES_MILLIS) {
			Result result = SilentEngineWorld.play(70, 1.0, Duration.ofMillis(pause), ending, 1);
			assertThat(result.retriesInStorm()).isLessThanOrEqualTo(SilentEngineWorld.retryBudget(70));
			assertThat(result.mostAttemptsAtOnce()).isLessThanOrEqualTo(2);
		}
	}

}
