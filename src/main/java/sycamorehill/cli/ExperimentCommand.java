package sycamorehill.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.experiment.GatewayExperiment;
import sycamorehill.experiment.WholeNodeExperiment;

/**
 * Repeats a measurement.
 */
@Command(name = "experiment", description = "Repeats a measurement of docs/EXPERIMENTS.md and prints its table")
public final class ExperimentCommand implements CliCommand {

	@Arguments(title = "NAME", description = "The experiment's name; 'list' prints all")
	@Required
	private String name;

	@Override
	public int run() throws Exception {
		if (this.name.equals("list")) {
			Arrays.stream(Experiment.values()).forEach((one) -> System.out.println(one.title()));
			return ExitCode.DONE;
		}
		System.out.println(find().table.create());
		return ExitCode.DONE;
	}

	private Experiment find() {
		return Arrays.stream(Experiment.values())
			.filter((one) -> one.title().equals(this.name))
			.findFirst()
			.orElseThrow(() -> CommandException.of(ExitCode.BAD_USAGE, "no experiment '" + this.name + "'; there are "
					+ Arrays.stream(Experiment.values()).map(Experiment::title).collect(Collectors.joining(", "))));
	}

	private enum Experiment {

		GATEWAY(GatewayExperiment::run), WHOLE_NODE(WholeNodeExperiment::run);

		private final Table table;

		Experiment(Table table) {
			this.table = table;
		}

		String title() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

	/**
	 * A measurement's result.
	 */
	@FunctionalInterface
	private interface Table {

		/**
		 * Measures.
		 * @return the table as Markdown
		 * @throws Exception if the measurement can't be made
		 */
		String create() throws Exception;

	}

}
