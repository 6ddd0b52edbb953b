package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.EntrySettings;

/**
 * Tells how far the start of the system has come: whether engines are still entering
 * themselves, and whether callers send requests.
 */
final class StartPhase {

	/**
	 * Before traffic, loads are fast and unbounded; after this time it is taken to begin.
	 */
	private static final Duration TRAFFIC_BEGINS = Duration.ofMillis(13500);

	/** All engines are there when none came for so long; they come within a second. */
	private static final Duration ENTERED_AFTER = Duration.ofMillis(450);

	/**
	 * Forming begins at last, whoever is missing: loads are fast only before traffic.
	 */
	private static final Duration ENTERED_BY = Duration.ofMillis(2200);

	private final boolean firstStart;

	private final Instant started;

	private int enginesSeen;

	private Instant enginesSeenSince = Instant.MIN;

	private Instant trafficSince;

	private StartPhase(boolean firstStart, Instant started) {
		this.firstStart = firstStart;
		this.started = started;
	}

	static StartPhase of(EntrySettings settings, Instant started) {
		return new StartPhase(settings.firstStart(), started);
	}

	void trafficSeen(Instant now) {
		if (this.trafficSince == null) {
			this.trafficSince = now;
		}
	}

	boolean beforeTraffic(Instant now) {
		return this.firstStart && this.trafficSince == null && now.isBefore(this.started.plus(TRAFFIC_BEGINS));
	}

	/**
	 * Whether more engines are about to enter themselves. Groups formed of the first few
	 * would mix models in all domains.
	 * @param engines engines seen now
	 * @param now the present time
	 * @return true while it is worth waiting for the rest
	 */
	boolean stillEntering(int engines, Instant now) {
		if (engines != this.enginesSeen) {
			this.enginesSeen = engines;
			this.enginesSeenSince = now;
		}
		return beforeTraffic(now) && now.isBefore(this.enginesSeenSince.plus(ENTERED_AFTER))
				&& now.isBefore(this.started.plus(ENTERED_BY));
	}

}
