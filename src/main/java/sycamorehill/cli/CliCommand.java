package sycamorehill.cli;

/**
 * One command of the binary.
 */
@FunctionalInterface
public interface CliCommand {

	/**
	 * Carries the command out.
	 * @return the exit code
	 * @throws Exception if something failed that the command has no word for
	 */
	int run() throws Exception;

}
