package sycamorehill.cli;

/**
 * Process that runs a command that serves.
 *
 * @param signals what the process does on signals
 * @param end what it logs when it ends
 */
record ServingProcess(StopSignals signals, ProcessEnd end) {

	/**
	 * Creates a process that receives no signals yet and logs nothing at its end.
	 * @return the process
	 */
	static ServingProcess create() {
		return new ServingProcess(StopSignals.create(), ProcessEnd.create());
	}

}
