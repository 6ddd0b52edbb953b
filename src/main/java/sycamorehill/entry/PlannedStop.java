package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

import sycamorehill.logic.entry.StopTimes;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.runtime.EventLog;

/**
 * Planned stop of an entry node: waits until no request is in flight, at most until
 * shortly before the process is killed. All methods run on the single event loop of the
 * node.
 */
final class PlannedStop {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final EventLoop loop;

	private final InstantSource clock;

	private final CallerServer callerServer;

	private final ProxyServer proxyServer;

	private final ExchangeRegistry exchanges;

	private final EntryMetrics metrics;

	private final LoopGuard guard;

	private final CompletableFuture<Integer> finished = new CompletableFuture<>();

	private EntrySettings settings;

	private Instant begun;

	private ScheduledFuture<?> checks;

	private PlannedStop(EventLoop loop, InstantSource clock, EntrySettings settings, CallerServer callerServer,
			ProxyServer proxyServer, ExchangeRegistry exchanges, EntryMetrics metrics, LoopGuard guard) {
		this.loop = loop;
		this.clock = clock;
		this.settings = settings;
		this.callerServer = callerServer;
		this.proxyServer = proxyServer;
		this.exchanges = exchanges;
		this.metrics = metrics;
		this.guard = guard;
	}

	static PlannedStop of(EventLoop loop, InstantSource clock, EntrySettings settings, CallerServer callerServer,
			ProxyServer proxyServer, ExchangeRegistry exchanges, EntryMetrics metrics, LoopGuard guard) {
		return new PlannedStop(loop, clock, settings, callerServer, proxyServer, exchanges, metrics, guard);
	}

	/**
	 * Begins the stop.
	 * @param requested when it was requested, from which the platform counts its grace
	 * @return false if it has begun before
	 */
	boolean begin(Instant requested) {
		if (this.checks != null) {
			return false;
		}
		this.begun = requested;
		this.callerServer.startStopping();
		this.checks = this.loop.scheduleWithFixedDelay(
				() -> this.guard.run(LogEvent.INVARIANT_BROKEN, "planned stop", this::finishIfDrained),
				CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		return true;
	}

	/**
	 * Applies changed settings. The bound of a stop that has begun follows them: it is
	 * the platform's present grace that decides when the process is killed.
	 * @param changed the settings
	 */
	void updateSettings(EntrySettings changed) {
		this.settings = changed;
	}

	/**
	 * Returns a future that completes when the stop is over.
	 * @return the number of callers' requests that were cut off at the bound
	 */
	CompletableFuture<Integer> whenFinished() {
		return this.finished;
	}

	private void finishIfDrained() {
		Duration since = Duration.between(this.begun, this.clock.instant());
		StopTimes times = new StopTimes(this.settings.stopTime());
		if (since.compareTo(times.end()) > 0) {
			this.guard.run(LogEvent.EFFECT_FAILED, "report of cut answers", this::reportUnfinished);
			finish(since);
		}
		else if (since.compareTo(times.acceptance()) >= 0) {
			this.callerServer.closeIdle();
			if (!this.callerServer.hasCallers() && !this.proxyServer.hasRequests()) {
				finish(since);
			}
		}
	}

	private void reportUnfinished() {
		this.callerServer.reportUnfinished();
		this.proxyServer.reportUnfinished();
	}

	// The process ends next, and with it the requests that are left.
	private void finish(Duration since) {
		int callers = this.exchanges.identifiers(CallerExchange.class).size();
		try {
			int proxied = this.exchanges.identifiers(ProxiedExchange.class).size();
			LogLine line = LogLine.of(LogEvent.REQUESTS_DRAINED,
					"node=" + this.settings.nodeName() + " millis=" + since.toMillis() + " cut=" + callers
							+ " cut-of-nodes=" + proxied + " connections-left=" + this.callerServer.connections());
			this.metrics.countEvent(line);
			EventLog.write(line);
		}
		finally {
			this.checks.cancel(false);
			this.finished.complete(callers);
		}
	}

}
