package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Timings and limits for content that crashes targets.
 *
 * @param suspicion how long content remains suspected after a target crashed while
 * running it
 * @param quarantine how long content that crashed two targets is refused after it was
 * last sent
 * @param mostContents maximum number of suspected contents, and of quarantined contents,
 * that are remembered
 * @param deathConfirm time after a lost connection within which a sign of life rules out
 * a crash
 * @param isolationDelay how long a suspect waits after a crash before it runs again
 * @param isolatedRun how long a suspect is kept apart from other suspects
 * @param isolationWait maximum time that a suspected request waits for a target
 * @param isolationAnswer maximum wait for the answer to a request for isolation
 * @param massDeaths number of different targets crashing in close succession from which
 * the crashes are not attributed to one request
 * @param digestEvery how often a node sends its quarantine list to another node
 */
public record QuarantinePolicy(Duration suspicion, Duration quarantine, int mostContents, Duration deathConfirm,
		Duration isolationDelay, Duration isolatedRun, Duration isolationWait, Duration isolationAnswer, int massDeaths,
		Duration digestEvery) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static QuarantinePolicy standard() {
		return new QuarantinePolicy(Duration.ofMinutes(10), Duration.ofHours(24), 4096, Duration.ofSeconds(2),
				Duration.ofMillis(250), Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(1), 3,
				Duration.ofSeconds(5));
	}

	/**
	 * Returns the maximum time for which the arbiter reserves a target for a suspect.
	 * @return the time for the wait for the answer, the run and the diagnosis
	 */
	public Duration maximumIsolationTime() {
		return this.isolationAnswer.plus(this.isolatedRun).plus(this.deathConfirm);
	}

}
