package sycamorehill.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * The one timer of a connection.
 */
final class ConnectionTimer {

	private final Channel channel;

	private ScheduledFuture<?> timer;

	private ConnectionTimer(Channel channel) {
		this.channel = channel;
	}

	static ConnectionTimer of(Channel channel) {
		return new ConnectionTimer(channel);
	}

	/**
	 * Starts the timer anew.
	 * @param time the time
	 * @param action executed when the time is over
	 */
	void start(Duration time, Runnable action) {
		stop();
		this.timer = this.channel.eventLoop().schedule(action, time.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Starts the timer anew, and again as long as the other end takes unsent bytes: a
	 * slow connection is not idle.
	 * @param time the time
	 * @param action executed when the connection was idle for the time
	 */
	void startIdle(Duration time, Runnable action) {
		long unsentBefore = UnsentOutput.bytes(this.channel);
		start(time, () -> {
			if (UnsentOutput.bytes(this.channel) < unsentBefore) {
				startIdle(time, action);
			}
			else {
				action.run();
			}
		});
	}

	void stop() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

}
