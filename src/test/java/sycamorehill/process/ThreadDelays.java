package sycamorehill.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures how late a thread of the test's process runs, so that a failure of a node can
 * be told from a machine on which the test's own targets and callers don't run.
 */
final class ThreadDelays implements AutoCloseable {

	private static final Duration INTERVAL = Duration.ofMillis(10);

	private final AtomicLong longestNanos = new AtomicLong();

	private final Thread thread = new Thread(this::measure, "thread-delays");

	private ThreadDelays() {
		this.thread.setDaemon(true);
	}

	static ThreadDelays start() {
		ThreadDelays delays = new ThreadDelays();
		delays.thread.start();
		return delays;
	}

	private void measure() {
		try {
			while (true) {
				long due = System.nanoTime() + INTERVAL.toNanos();
				TimeUnit.NANOSECONDS.sleep(INTERVAL.toNanos());
				this.longestNanos.accumulateAndGet(System.nanoTime() - due, Math::max);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the longest delay so far.
	 * @return the delay, in milliseconds
	 */
	long longestMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestNanos.get());
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

}
