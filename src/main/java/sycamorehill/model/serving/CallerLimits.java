package sycamorehill.model.serving;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param maximumHeaderBytes largest request head
 * @param maximumBodyBytes largest request body
 * @param headerTimeout longest time from the first byte of a request to the end of its
 * head
 * @param idleTimeout longest time that a connection may stay without a request
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * Bounds before any configuration is known: those of common HTTP servers.
	 */
	public static final CallerLimits INITIAL = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
