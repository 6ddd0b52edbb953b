package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of content that crashes targets.
 *
 * @param suspicion how long content stays suspected after a target died running it
 * @param quarantine how long content that crashed two targets is refused after it was
 * last sent
 * @param mostContents most suspected and most quarantined contents that are remembered
 * @param deathConfirm how long after a lost connection a sign of life clears the target
 * @param isolationDelay how long after a death a suspect waits before it runs again
 * @param isolatedRun how long a suspect is kept apart from other suspects
 * @param isolationWait how long a suspected request waits for a target
 * @param isolationAnswer how long an answer to a wish for isolation is waited for
 * @param massDeaths deaths of different targets shortly after each other from which on
 * they are not put down to one request
 * @param digestEvery how often a node tells another one what is quarantined
 */
public record QuarantinePolicy(Duration suspicion, Duration quarantine, int mostContents, Duration deathConfirm,
		Duration isolationDelay, Duration isolatedRun, Duration isolationWait, Duration isolationAnswer, int massDeaths,
		Duration digestEvery) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static QuarantinePolicy standard() {
		return new QuarantinePolicy(Duration.ofMinutes(10), Duration.ofHours(24), 4096, Duration.ofSeconds(2),
				Duration.ofMillis(250), Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(1), 3,
				Duration.ofSeconds(5));
	}

	/**
	 * How long the arbiter keeps a place for a suspect at the longest.
	 * @return long enough for the wait for the answer, the run and its judgement
	 */
	public Duration maximumIsolationTime() {
		return this.isolationAnswer.plus(this.isolatedRun).plus(this.deathConfirm);
	}

}
