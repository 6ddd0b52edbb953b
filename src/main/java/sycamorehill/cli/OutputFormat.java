package sycamorehill.cli;

/**
 * How a command prints.
 */
public enum OutputFormat {

	/** For people. */
	text,

	/** For programs. */
	json

}
