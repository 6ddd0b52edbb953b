package sycamorehill.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * Entry point of the binary.
 */
public final class SycamorehillCommand {

	private SycamorehillCommand() {
	}

	/**
	 * Runs one command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		ServingProcess process = ServingProcess.create();
		process.end().watch(arguments.length > 0 && ServingCommand.NAMES.contains(arguments[0]));
		System.exit(run(process, arguments));
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
		catch (Exception ex) {
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
					StandInCommand.class, LoadCommand.class, ExperimentCommand.class, ExplainCommand.class);
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
