package sycamorehill.cli;

import java.util.Set;

/**
 * A command that serves until it is told to stop.
 */
interface ServingCommand {

	/** Names of these commands, to tell them from others before they are parsed. */
	Set<String> NAMES = Set.of("serve", "stand-in", "local");

	/**
	 * Serves until the end.
	 * @param process the process that runs the command
	 * @return the exit code
	 * @throws Exception if something failed that the command has no word for
	 */
	int serve(ServingProcess process) throws Exception;

}
