package sycamorehill.cli;

import java.util.concurrent.atomic.AtomicBoolean;

import sun.misc.Signal;

/**
 * Turns the signals TERM and INT into a planned stop; a second one ends the process at
 * once. A shutdown hook could not tell the second from the first.
 */
final class StopSignals {

	private static final int KILLED = 137;

	private StopSignals() {
	}

	static void install(Runnable plannedStop) {
		AtomicBoolean stopping = new AtomicBoolean();
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> {
				if (stopping.compareAndSet(false, true)) {
					plannedStop.run();
				}
				else {
					Runtime.getRuntime().halt(KILLED);
				}
			});
		}
	}

}
