package sycamorehill.entry;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.TargetAddress;

/**
 * Calls to engines that are no requests of callers.
 */
public interface EnginePort {

	/**
	 * Sends an order.
	 * @param engine the engine
	 * @param order the order
	 * @param ordersAccepted the count of orders under which it is good
	 * @return what became of it; never fails
	 */
	CompletableFuture<EngineCommandAnswer> order(TargetAddress engine, EngineCommandRequest order, long ordersAccepted);

	/**
	 * Asks for an engine's state.
	 * @param engine the engine
	 * @return its state, or a {@link NoReportException}
	 */
	CompletableFuture<EngineReport> report(TargetAddress engine);

	/**
	 * An engine's state could not be read.
	 */
	final class NoReportException extends Exception {

		private static final long serialVersionUID = 1L;

		private final EngineCommandAnswer seen;

		/**
		 * Creates the exception.
		 * @param seen what was seen instead
		 */
		public NoReportException(EngineCommandAnswer seen) {
			super(seen.toString());
			this.seen = seen;
		}

		/**
		 * What was seen instead of a report.
		 * @return what was seen
		 */
		public EngineCommandAnswer seen() {
			return this.seen;
		}

	}

}
