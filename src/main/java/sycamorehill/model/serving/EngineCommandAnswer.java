package sycamorehill.model.serving;

/**
 * Result of a command to an engine.
 */
public enum EngineCommandAnswer {

	/** The engine started the command and increased its count of accepted commands. */
	BEGUN,

	/** The engine is already in the requested state; its count is unchanged. */
	HOLDS_ALREADY,

	/** The command doesn't match the engine's state or its count of accepted commands. */
	CONFLICT,

	/** The engine has received a command of a newer epoch. */
	OUTDATED,

	/** Another target uses the address. */
	OTHER_TARGET,

	/** No process listens at the address. */
	NOTHING_LISTENS,

	/** No connection was established: nothing was sent. */
	NOT_CONNECTED,

	/**
	 * No answer arrived: the engine may still execute the command, even seconds later.
	 */
	NOT_KNOWN,

	/** The engine doesn't support the command. */
	UNSUPPORTED;

	/**
	 * Returns whether the requested state is reached or will be.
	 * @return true if the engine started the command or had nothing to do
	 */
	public boolean isSuccessful() {
		return this == BEGUN || this == HOLDS_ALREADY;
	}

}
