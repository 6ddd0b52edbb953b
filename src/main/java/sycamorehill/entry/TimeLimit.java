package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Time limit of a request, counted from its arrival.
 */
final class TimeLimit {

	private final long arrivedNanos;

	private Optional<Duration> timeout = Optional.empty();

	private ScheduledFuture<?> timer;

	private TimeLimit(long arrivedNanos) {
		this.arrivedNanos = arrivedNanos;
	}

	static TimeLimit since(long arrivedNanos) {
		return new TimeLimit(arrivedNanos);
	}

	void start(Duration limit, EventLoop loop, Runnable expiry) {
		this.timeout = Optional.of(limit);
		long left = limit.toNanos() - (System.nanoTime() - this.arrivedNanos);
		this.timer = loop.schedule(expiry, Math.max(0, left), TimeUnit.NANOSECONDS);
	}

	Optional<Duration> timeLeft() {
		return this.timeout.map((limit) -> limit.minusNanos(System.nanoTime() - this.arrivedNanos));
	}

	void cancel() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

}
