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
	 * @param command the command
	 * @param acceptedCommands the number of accepted commands for which it is valid
	 * @return what became of it; never fails
	 */
	CompletableFuture<EngineCommandAnswer> sendCommand(TargetAddress engine, EngineCommandRequest command,
			long acceptedCommands);

	/**
	 * Asks for an engine's state.
	 * @param engine the engine
	 * @return its state, or a {@link ReportUnavailableException}
	 */
	CompletableFuture<EngineReport> readReport(TargetAddress engine);

	/**
	 * An engine's state could not be read.
	 */
	final class ReportUnavailableException extends Exception {

		private static final long serialVersionUID = 1L;

		private final EngineCommandAnswer answer;

		/**
		 * Creates the exception.
		 * @param answer what was observed instead
		 */
		public ReportUnavailableException(EngineCommandAnswer answer) {
			super(answer.toString());
			this.answer = answer;
		}

		/**
		 * What was seen instead of a report.
		 * @return what was seen
		 */
		public EngineCommandAnswer answer() {
			return this.answer;
		}

	}

}
