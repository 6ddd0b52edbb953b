package sycamorehill.cli;

import sun.misc.Signal;

/**
 * Source of the signals that the process receives.
 */
@FunctionalInterface
interface SignalSource {

	/**
	 * Calls a handler each time that the process receives a signal.
	 * @param name name of the signal, such as TERM
	 * @param handler the handler
	 */
	void handle(String name, Runnable handler);

	/**
	 * Returns the signals of the operating system.
	 * @return the source
	 */
	static SignalSource ofProcess() {
		return (name, handler) -> Signal.handle(new Signal(name), (signal) -> handler.run());
	}

}
