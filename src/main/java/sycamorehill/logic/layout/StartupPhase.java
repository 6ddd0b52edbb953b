package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.serving.EntrySettings;

/**
 * Tracks the start of the whole system: whether engines are still registering, and
 * whether callers send requests.
 */
final class StartupPhase {

	/**
	 * Time after the start at which traffic is assumed to have begun. Before traffic,
	 * loads are fast and their number is not limited.
	 */
	private static final Duration TRAFFIC_ASSUMED_AFTER = Duration.ofMillis(13500);

	/**
	 * Time without a change in the number of engines after which all count as registered.
	 * They register within a second.
	 */
	private static final Duration REGISTRATION_QUIET_TIME = Duration.ofMillis(450);

	/**
	 * Time after the start at which groups are formed even if engines are missing,
	 * because loads are fast only before traffic.
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
	 * Returns whether more engines are about to register. Groups formed of the first few
	 * engines would mix models in all domains.
	 * @param engineCount the number of registered engines
	 * @param now the current time
	 * @return true while it is worth waiting for the remaining engines
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
