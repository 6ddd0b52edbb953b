package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Limits of attempts, retries and stalls.
 *
 * @param mostAttempts maximum number of attempts of a request, including the first
 * @param patience maximum wait for the next byte of an attempt
 * @param targetWait maximum time that a request waits for a target to become available
 * @param resumeWait maximum time that a partly delivered stream waits for a target to
 * resume on
 * @param recheck how often a waiting request checks for a target
 * @param backoff maximum delay before the second retry; it doubles with each further one
 * @param retries budget of attempts that repeat a request from its beginning
 * @param resumes budget of attempts that resume a partly delivered stream
 * @param comeBack minimum retry delay sent to a caller that is refused
 * @param stopGrace how long a stopping node still accepts requests, until the load
 * balancer has detected the stop
 * @param stopBound maximum time that a stopping node waits for requests in flight
 */
public record RequestPolicy(int mostAttempts, Duration patience, Duration targetWait, Duration resumeWait,
		Duration recheck, Duration backoff, RetryBudgetPolicy retries, RetryBudgetPolicy resumes, Duration comeBack,
		Duration stopGrace, Duration stopBound) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static RequestPolicy standard() {
		return new RequestPolicy(3, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(5),
				Duration.ofMillis(200), Duration.ofMillis(200), new RetryBudgetPolicy(0.1, 20),
				new RetryBudgetPolicy(0.2, 200), Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMinutes(10));
	}

}
