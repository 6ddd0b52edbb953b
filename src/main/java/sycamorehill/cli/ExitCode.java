package sycamorehill.cli;

/**
 * Exit codes of all commands.
 */
public final class ExitCode {

	/** Done. */
	public static final int DONE = 0;

	/** Bad usage or settings. */
	public static final int BAD_USAGE = 2;

	/** Refused: not accepted and not carried out. */
	public static final int REFUSED = 3;

	/** The outcome is not known. */
	public static final int NOT_KNOWN = 4;

	/** The node can't be reached. */
	public static final int NOT_REACHABLE = 5;

	private ExitCode() {
	}

}
