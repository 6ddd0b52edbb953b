package sycamorehill.model.serving;

import java.time.Duration;

/**
 * Limits on the size and the timing of callers' requests.
 *
 * @param maximumHeaderBytes maximum size of a request head
 * @param maximumBodyBytes maximum size of a request body
 * @param headerTimeout maximum time from the first byte of a request to the end of its
 * head
 * @param idleTimeout maximum time for which a connection may stay open without a request
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * Limits in effect until a configuration is known, as in common HTTP servers.
	 */
	public static final CallerLimits INITIAL = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
