package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

import sycamorehill.logic.entry.EntryReducer;
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

	/** Margin before the process is killed at which it stops by itself. */
	private static final Duration KILL_MARGIN = Duration.ofMillis(300);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final EventLoop loop;

	private final InstantSource clock;

	private final CallerServer callerServer;

	private final ProxyServer proxyServer;

	private final EntryMetrics metrics;

	private final CompletableFuture<Void> finished = new CompletableFuture<>();

	private final EntrySettings settings;

	private Instant begun;

	private ScheduledFuture<?> checks;

	private PlannedStop(EventLoop loop, InstantSource clock, EntrySettings settings, CallerServer callerServer,
			ProxyServer proxyServer, EntryMetrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.settings = settings;
		this.callerServer = callerServer;
		this.proxyServer = proxyServer;
		this.metrics = metrics;
	}

	static PlannedStop of(EventLoop loop, InstantSource clock, EntrySettings settings, CallerServer callerServer,
			ProxyServer proxyServer, EntryMetrics metrics) {
		return new PlannedStop(loop, clock, settings, callerServer, proxyServer, metrics);
	}

	/**
	 * Begins the stop.
	 * @return false if it has begun before
	 */
	boolean begin() {
		if (this.begun != null) {
			return false;
		}
		this.begun = this.clock.instant();
		this.callerServer.startStopping();
		this.checks = this.loop.scheduleWithFixedDelay(this::finishIfDrained, CHECK_INTERVAL.toMillis(),
				CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		return true;
	}

	CompletableFuture<Void> whenFinished() {
		return this.finished;
	}

	private void finishIfDrained() {
		Duration since = Duration.between(this.begun, this.clock.instant());
		if (since.compareTo(EntryReducer.ACCEPTANCE_AFTER_STOP) < 0) {
			return;
		}
		this.callerServer.closeIdle();
		boolean boundReached = since.compareTo(this.settings.stopTime().minus(KILL_MARGIN)) > 0;
		if (boundReached) {
			this.callerServer.reportUnfinished();
		}
		if (boundReached || (!this.callerServer.hasCallers() && !this.proxyServer.hasRequests())) {
			finish(since);
		}
	}

	private void finish(Duration since) {
		this.checks.cancel(false);
		log(LogLine.of(LogEvent.REQUESTS_DRAINED,
				"node=" + this.settings.nodeName() + " millis=" + since.toMillis() + " callers-left="
						+ this.callerServer.hasCallers() + " proxied-left=" + this.proxyServer.hasRequests()));
		this.finished.complete(null);
	}

	private void log(LogLine line) {
		this.metrics.countEvent(line);
		EventLog.write(line);
	}

}
