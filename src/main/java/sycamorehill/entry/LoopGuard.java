package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Runs tasks of the event loop and logs whatever they throw. Whatever left a periodic
 * task would cancel it, and whatever left a callback would end the calls that it makes in
 * turn, both without a log line: the node would go on without reading the store or
 * checking its streams.
 */
final class LoopGuard {

	/**
	 * Time for which every periodic step must have thrown an error before the node stops.
	 * A request that makes its own step fail doesn't stop it.
	 */
	static final Duration MAXIMUM_FAILURE_TIME = Duration.ofSeconds(3);

	/** Interval of stack traces; errors that come with each event would fill the log. */
	private static final Duration STACK_TRACE_INTERVAL = Duration.ofSeconds(1);

	private final InstantSource clock;

	private final Runnable plannedStop;

	private Instant nextStackTrace = Instant.MIN;

	private Instant failingSince = Instant.MAX;

	private boolean stopRequested;

	private long failures;

	private long unloggedFailures;

	private LoopGuard(InstantSource clock, Runnable plannedStop) {
		this.clock = clock;
		this.plannedStop = plannedStop;
	}

	/**
	 * Creates a guard.
	 * @param clock the monotonic clock
	 * @param plannedStop starts a planned stop of the node; called once at most
	 * @return the guard
	 */
	static LoopGuard of(InstantSource clock, Runnable plannedStop) {
		return new LoopGuard(clock, plannedStop);
	}

	/**
	 * Runs a task.
	 * @param event the log event for an exception
	 * @param name the name of the task in the log
	 * @param task the task
	 */
	void run(LogEvent event, String name, Runnable task) {
		try {
			task.run();
		}
		catch (Throwable ex) {
			report(event, name, ex);
		}
	}

	/**
	 * Runs the periodic step. If each run has thrown an error for
	 * {@link #MAXIMUM_FAILURE_TIME}, the node stops as planned: a process that ended at
	 * once would cut all its streams.
	 * @param step the step
	 */
	void runPeriodicStep(Runnable step) {
		try {
			step.run();
			this.failingSince = Instant.MAX;
		}
		catch (Throwable ex) {
			report(LogEvent.INVARIANT_BROKEN, "periodic step", ex);
			if (ex instanceof Error) {
				recordFailedStep();
			}
		}
	}

	private void recordFailedStep() {
		Instant now = this.clock.instant();
		if (this.failingSince.equals(Instant.MAX)) {
			this.failingSince = now;
		}
		if (!this.stopRequested && !now.isBefore(this.failingSince.plus(MAXIMUM_FAILURE_TIME))) {
			this.stopRequested = true;
			run(LogEvent.INVARIANT_BROKEN, "planned stop after errors", this.plannedStop);
		}
	}

	/**
	 * Logs what a task threw.
	 * @param event the log event for an exception; errors have their own
	 * @param name the name of the task
	 * @param cause what it threw
	 */
	void report(LogEvent event, String name, Throwable cause) {
		this.failures++;
		LogEvent logged = (cause instanceof Error) ? LogEvent.ERROR_THROWN : event;
		try {
			Instant now = this.clock.instant();
			if (now.isBefore(this.nextStackTrace)) {
				EventLog.write(LogLine.of(logged, name + " cause='" + cause + "'"));
			}
			else {
				this.nextStackTrace = now.plus(STACK_TRACE_INTERVAL);
				EventLog.failure(logged, name, cause);
			}
		}
		catch (Throwable ex) {
			// Without memory for a log line, the failure is only counted.
			this.unloggedFailures++;
		}
	}

	/**
	 * Returns the number of exceptions and errors that tasks threw.
	 * @return the number
	 */
	long failures() {
		return this.failures;
	}

	/**
	 * Returns how many of them could not be logged.
	 * @return the number
	 */
	long unloggedFailures() {
		return this.unloggedFailures;
	}

}
