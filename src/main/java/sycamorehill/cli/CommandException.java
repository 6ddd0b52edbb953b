package sycamorehill.cli;

/**
 * A command that can't be carried out, with what the user is told and the exit code.
 */
public final class CommandException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int exitCode;

	private CommandException(int exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	/**
	 * Creates the failure.
	 * @param exitCode one of {@link ExitCode}
	 * @param message what the user is told
	 * @return the failure
	 */
	public static CommandException of(int exitCode, String message) {
		return new CommandException(exitCode, message);
	}

	/**
	 * The exit code of the process.
	 * @return the code
	 */
	public int exitCode() {
		return this.exitCode;
	}

}
