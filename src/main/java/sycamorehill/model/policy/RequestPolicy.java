package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of attempts, retries and stalls.
 *
 * @param mostAttempts most attempts of one request, the first among them
 * @param patience the longest wait for the next byte of an attempt
 * @param targetWait how long a request waits for a target to appear
 * @param resumeWait how long a stream that has begun waits for a target to resume on
 * @param recheck how often a waiting request looks for a target
 * @param backoff the longest wait before the second retry; it doubles with each further
 * one
 * @param retries budget of attempts that repeat a request from its beginning
 * @param resumes budget of attempts that resume a stream that has begun
 * @param comeBack when a caller that is refused is told to come back, at the least
 * @param stopGrace how long a stopping node still accepts requests, until the balancer
 * has noticed
 * @param stopBound how long a stopping node waits for requests in flight
 */
public record RequestPolicy(int mostAttempts, Duration patience, Duration targetWait, Duration resumeWait,
		Duration recheck, Duration backoff, RetryBudgetPolicy retries, RetryBudgetPolicy resumes, Duration comeBack,
		Duration stopGrace, Duration stopBound) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static RequestPolicy standard() {
		return new RequestPolicy(3, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(5),
				Duration.ofMillis(200), Duration.ofMillis(200), new RetryBudgetPolicy(0.1, 20),
				new RetryBudgetPolicy(0.2, 200), Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMinutes(10));
	}

}
