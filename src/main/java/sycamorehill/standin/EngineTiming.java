package sycamorehill.standin;

import java.time.Duration;

/**
 * How fast the stand-ins of engines are and how stale their reports.
 *
 * @param firstToken time to the first token of a short prompt on an idle engine
 * @param prefillPerToken time for each prompt token that is not in the cache
 * @param tokenGap time between tokens on an idle engine
 * @param slowdownPerRunning share by which each running request lengthens both times
 * @param mostRunning requests that run together; further ones queue
 * @param cachedPrefixes prompt prefixes that the cache holds
 * @param reportLag how old a report may be
 * @param load time to load a model while the weight store has room
 * @param concurrentLoads loads that the weight store carries at full speed
 * @param leavingNotice time from a VM's notice that it leaves until it is gone
 */
public record EngineTiming(Duration firstToken, Duration prefillPerToken, Duration tokenGap, double slowdownPerRunning,
		int mostRunning, int cachedPrefixes, Duration reportLag, Duration load, int concurrentLoads,
		Duration leavingNotice) {

	/**
	 * Values for tests and trials on loopback.
	 * @return the usual values
	 */
	public static EngineTiming standard() {
		return new EngineTiming(Duration.ofMillis(20), Duration.ofNanos(20_000), Duration.ofMillis(5), 0.05, 32, 256,
				Duration.ofMillis(200), Duration.ofMillis(300), 8, Duration.ofSeconds(30));
	}

}
