package sycamorehill.cli;

import java.util.concurrent.atomic.AtomicBoolean;

import sun.misc.Signal;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Turns the signals TERM and INT into a planned stop; a second one ends the process at
 * once. A shutdown hook could not tell the second from the first.
 */
final class StopSignals {

	private static final int KILLED = 137;

	private StopSignals() {
	}

	static StopSignals create() {
		return new StopSignals();
	}

	void install(Runnable plannedStop) {
		AtomicBoolean stopping = new AtomicBoolean();
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> {
				boolean first = stopping.compareAndSet(false, true);
				EventLog.write(LogLine.of(LogEvent.SIGNAL_RECEIVED,
						"signal=" + name + " effect='" + (first ? "stop by plan" : "end at once") + "'"));
				if (first) {
					plannedStop.run();
				}
				else {
					Runtime.getRuntime().halt(KILLED);
				}
			});
		}
	}

}
