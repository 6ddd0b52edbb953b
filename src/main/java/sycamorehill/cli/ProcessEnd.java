package sycamorehill.cli;

import java.util.List;
import java.util.concurrent.Callable;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Logs why the process ends, and which requests of callers it cuts off. Without the line
 * an end by itself can't be told from a kill.
 */
final class ProcessEnd {

	/** Maximum number of requests that are listed by their identifiers. */
	private static final int MAXIMUM_LISTED = 50;

	private volatile String cause = "by itself";

	private volatile Callable<List<String>> requestsInFlight = List::of;

	private ProcessEnd() {
	}

	static ProcessEnd create() {
		return new ProcessEnd();
	}

	/** Logs the end of the process from now on, whatever ends it but a kill. */
	void watch() {
		Runtime.getRuntime().addShutdownHook(new Thread(this::write, "process-end"));
		Thread.setDefaultUncaughtExceptionHandler(
				(thread, failure) -> EventLog.failure(LogEvent.THREAD_FAILED, "thread=" + thread.getName(), failure));
	}

	void setRequestsInFlight(Callable<List<String>> requests) {
		this.requestsInFlight = requests;
	}

	void setCause(String known) {
		this.cause = known;
	}

	private void write() {
		try {
			EventLog.write(line());
			EventLog.close();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	LogLine line() {
		try {
			List<String> requests = this.requestsInFlight.call();
			LogEvent event = requests.isEmpty() ? LogEvent.PROCESS_ENDS : LogEvent.PROCESS_ENDS_WITH_REQUESTS;
			String listed = requests.isEmpty() ? ""
					: " identifiers=" + String.join(",", requests.stream().limit(MAXIMUM_LISTED).toList());
			return LogLine.of(event, "cause='" + this.cause + "' requests=" + requests.size() + listed);
		}
		catch (Exception ex) {
			return LogLine.of(LogEvent.PROCESS_ENDS_WITH_REQUESTS,
					"cause='" + this.cause + "' requests=unknown: " + ex);
		}
	}

}
