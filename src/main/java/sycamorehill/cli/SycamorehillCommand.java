package sycamorehill.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

import sycamorehill.runtime.EventLog;

/**
 * Entry point of the binary.
 */
public final class SycamorehillCommand {

	private SycamorehillCommand() {
	}

	/**
	 * Runs one command. Signals are handled before anything else: the command line of a
	 * command that serves is parsed in a time in which a slow VM may already receive
	 * them.
	 * @param arguments the command line
	 * @throws InterruptedException if the thread is interrupted while it ends the log
	 */
	public static void main(String[] arguments) throws InterruptedException {
		ServingProcess process = ServingProcess.create();
		boolean serving = arguments.length > 0 && ServingCommand.NAMES.contains(arguments[0]);
		if (serving) {
			process.watch();
		}
		int exitCode = run(process, arguments);
		if (!serving) {
			EventLog.close();
		}
		System.exit(exitCode);
	}

	/**
	 * Runs one command.
	 * @param process the process, for commands that serve
	 * @param arguments the command line
	 * @return the exit code
	 */
	static int run(ServingProcess process, String... arguments) {
		try {
			Object command = cli().parse(arguments);
			return execute(command, process);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage() + " ('sycamorehill help' lists the commands)");
			return ExitCode.BAD_USAGE;
		}
		catch (CommandException ex) {
			System.err.println(ex.getMessage());
			process.end().setCause(ex.getMessage());
			return ex.exitCode();
		}
		catch (Exception | LinkageError | VirtualMachineError ex) {
			System.err.println("failed: " + ex);
			process.end().setCause("failed: " + ex);
			return ExitCode.NOT_KNOWN;
		}
	}

	private static int execute(Object command, ServingProcess process) throws Exception {
		if (command instanceof ServingCommand serving) {
			return serving.serve(process);
		}
		if (command instanceof CliCommand ours) {
			return ours.run();
		}
		((Runnable) command).run();
		return ExitCode.DONE;
	}

	@SuppressWarnings("unchecked")
	private static Cli<Object> cli() {
		CliBuilder<Object> builder = Cli.<Object>builder("sycamorehill")
			.withDescription("Serving system for models whose replicas span several VMs")
			.withDefaultCommand((Class<Object>) (Class<?>) Help.class)
			.withCommands(Help.class, ServeCommand.class, StateCommand.class, DumpCommand.class, LocalCommand.class,
					StandInCommand.class, LoadCommand.class, ExperimentCommand.class, ExplainCommand.class,
					PlacementCommand.class);
		builder.withGroup("ticket")
			.withDescription("File and read change tickets")
			.withCommands(TicketFileCommand.class, TicketShowCommand.class, TicketListCommand.class,
					TicketCheckCommand.class);
		builder.withGroup("settings")
			.withDescription("Check settings")
			.withCommands(SettingsCheckCommand.class, SettingsListCommand.class);
		return builder.build();
	}

}
