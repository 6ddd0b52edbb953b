package sycamorehill.cli;

/**
 * Process that runs a command that serves.
 *
 * @param signals what the process does on signals
 * @param end what it logs when it ends
 */
record ServingProcess(ProcessSignals signals, ProcessEnd end) {

	/**
	 * Creates a process that receives no signals yet and logs nothing at its end.
	 * @return the process
	 */
	static ServingProcess create() {
		return new ServingProcess(ProcessSignals.create(), ProcessEnd.create());
	}

	/** Handles signals and logs the end of the process from now on. */
	void watch() {
		this.signals.listen(SignalSource.ofProcess());
		this.end.watch();
	}

}
