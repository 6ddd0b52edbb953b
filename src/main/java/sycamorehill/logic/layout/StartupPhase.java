package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.EntrySettings;

/**
 * Tells how far the start of the system has come: whether engines are still entering
 * themselves, and whether callers send requests.
 */
final class StartupPhase {

	/**
	 * Before traffic, loads are fast and unbounded; after this time it is taken to begin.
	 */
	private static final Duration TRAFFIC_ASSUMED_AFTER = Duration.ofMillis(13500);

	/** All engines are there when none came for so long; they come within a second. */
	private static final Duration REGISTRATION_QUIET_TIME = Duration.ofMillis(450);

	/**
	 * Forming begins at last, whoever is missing: loads are fast only before traffic.
	 */
	private static final Duration MAXIMUM_REGISTRATION_WAIT = Duration.ofMillis(2200);

	private final boolean firstStart;

	private final Instant started;

	private int engineCount;

	private Instant engineCountSince = Instant.MIN;

	private Instant trafficSince;

	private StartupPhase(boolean firstStart, Instant started) {
		this.firstStart = firstStart;
		this.started = started;
	}

	static StartupPhase of(EntrySettings settings, Instant started) {
		return new StartupPhase(settings.firstStart(), started);
	}

	void recordTraffic(Instant now) {
		if (this.trafficSince == null) {
			this.trafficSince = now;
		}
	}

	boolean beforeTraffic(Instant now) {
		return this.firstStart && this.trafficSince == null && now.isBefore(this.started.plus(TRAFFIC_ASSUMED_AFTER));
	}

	/**
	 * Whether more engines are about to enter themselves. Groups formed of the first few
	 * would mix models in all domains.
	 * @param engineCount engines seen now
	 * @param now the present time
	 * @return true while it is worth waiting for the rest
	 */
	boolean enginesStillRegistering(int engineCount, Instant now) {
		if (engineCount != this.engineCount) {
			this.engineCount = engineCount;
			this.engineCountSince = now;
		}
		return beforeTraffic(now) && now.isBefore(this.engineCountSince.plus(REGISTRATION_QUIET_TIME))
				&& now.isBefore(this.started.plus(MAXIMUM_REGISTRATION_WAIT));
	}

}
