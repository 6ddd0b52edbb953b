package sycamorehill.entry;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.TargetAddress;

/**
 * Sends calls to engines other than the requests of callers.
 */
public interface EnginePort {

	/**
	 * Sends a command to an engine.
	 * @param engine the engine
	 * @param command the command
	 * @param acceptedCommands the number of accepted commands for which it is valid
	 * @return the outcome of the command; never fails
	 */
	CompletableFuture<EngineCommandAnswer> sendCommand(TargetAddress engine, EngineCommandRequest command,
			long acceptedCommands);

	/**
	 * Reads the state of an engine.
	 * @param engine the engine
	 * @return the state; completes with a {@link ReportUnavailableException} if it can't
	 * be read
	 */
	CompletableFuture<EngineReport> readReport(TargetAddress engine);

	/**
	 * Thrown when the state of an engine can't be read.
	 */
	final class ReportUnavailableException extends Exception {

		private static final long serialVersionUID = 1L;

		private final EngineCommandAnswer answer;

		/**
		 * Creates the exception.
		 * @param answer the answer that was received instead of a report
		 */
		public ReportUnavailableException(EngineCommandAnswer answer) {
			super(answer.toString());
			this.answer = answer;
		}

		/**
		 * Returns the answer that was received instead of a report.
		 * @return the answer
		 */
		public EngineCommandAnswer answer() {
			return this.answer;
		}

	}

}
