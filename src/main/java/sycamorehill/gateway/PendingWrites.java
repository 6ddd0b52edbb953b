package sycamorehill.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.ConnectionObserver;
import io.servicetalk.transport.api.TransportObserver;

/**
 * Counts the parts of answers that have not been written to their callers' connections
 * yet. A server that closes before that breaks off answers that nothing else counts as in
 * flight.
 */
final class PendingWrites implements TransportObserver {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

	private final AtomicInteger parts = new AtomicInteger();

	private PendingWrites() {
	}

	static PendingWrites create() {
		return new PendingWrites();
	}

	/**
	 * Waits until all answers are written.
	 * @param maximumWait how long to wait for callers that read slowly
	 * @return whether they are
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean await(Duration maximumWait) throws InterruptedException {
		long checks = maximumWait.dividedBy(CHECK_INTERVAL);
		for (long check = 0; check < checks && this.parts.get() > 0; check++) {
			TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.toMillis());
		}
		return this.parts.get() == 0;
	}

	int count() {
		return this.parts.get();
	}

	@Override
	public ConnectionObserver onNewConnection(Object localAddress, Object remoteAddress) {
		return new Connection();
	}

	/**
	 * Observes the answers on one connection.
	 */
	private final class Connection implements ConnectionObserver, ConnectionObserver.DataObserver {

		@Override
		public DataObserver connectionEstablished(ConnectionInfo info) {
			return this;
		}

		@Override
		public WriteObserver onNewWrite() {
			return new Write();
		}

	}

	/**
	 * Observes one answer.
	 */
	private final class Write implements ConnectionObserver.WriteObserver {

		private final AtomicInteger own = new AtomicInteger();

		@Override
		public void itemReceived(Object item) {
			this.own.incrementAndGet();
			PendingWrites.this.parts.incrementAndGet();
		}

		@Override
		public void itemFlushed() {
			this.own.decrementAndGet();
			PendingWrites.this.parts.decrementAndGet();
		}

		@Override
		public void writeFailed(Throwable cause) {
			forget();
		}

		@Override
		public void writeCancelled() {
			forget();
		}

		private void forget() {
			PendingWrites.this.parts.addAndGet(-this.own.getAndSet(0));
		}

	}

}
