package sycamorehill.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.experiment.ControlCostExperiment;
import sycamorehill.experiment.GatewayExperiment;
import sycamorehill.experiment.OrderExperiment;
import sycamorehill.experiment.OverloadExperiment;
import sycamorehill.experiment.RetryStormExperiment;
import sycamorehill.experiment.RoutingExperiment;
import sycamorehill.experiment.SpreadExperiment;
import sycamorehill.experiment.WholeNodeExperiment;
import sycamorehill.experiment.group.ControllerCostExperiment;
import sycamorehill.experiment.group.GroupExperiment;
import sycamorehill.experiment.group.SightTrafficExperiment;

/**
 * Repeats a measurement.
 */
@Command(name = "experiment", description = "Repeats a measurement of docs/EXPERIMENTS.md and prints its table")
public final class ExperimentCommand implements CliCommand {

	@Arguments(title = "NAME", description = "The experiment's name; 'list' prints all")
	@Required
	private String name;

	@Option(name = "--seeds", title = "NUMBER",
			description = "How many seeds, from 1 on (2), where the experiment has seeds")
	private int seeds = 2;

	@Option(name = "--outage", title = "DURATION", description = "Length of the outage of control-cost (PT1M)")
	private String outage = "PT1M";

	@Option(name = "--sizes", title = "NUMBERS", description = "Numbers of nodes for control-cost, commas between")
	private String sizes = "6,50,103,206";

	@Override
	public int run() throws Exception {
		if (this.name.equals("list")) {
			Arrays.stream(Experiment.values()).forEach((one) -> System.out.println(one.title()));
			return ExitCode.DONE;
		}
		find().measurement.run(this, System.out);
		return ExitCode.DONE;
	}

	private Experiment find() {
		return Arrays.stream(Experiment.values())
			.filter((one) -> one.title().equals(this.name))
			.findFirst()
			.orElseThrow(() -> CommandException.of(ExitCode.BAD_USAGE, "no experiment '" + this.name + "'; there are "
					+ Arrays.stream(Experiment.values()).map(Experiment::title).collect(Collectors.joining(", "))));
	}

	private List<Long> seedList() {
		return LongStream.rangeClosed(1, this.seeds).boxed().toList();
	}

	private int[] sizeList() {
		return Arrays.stream(this.sizes.split(",")).map(String::strip).mapToInt(Integer::parseInt).toArray();
	}

	private enum Experiment {

		GATEWAY((command, out) -> out.println(GatewayExperiment.run())),

		WHOLE_NODE((command, out) -> out.println(WholeNodeExperiment.run())),

		ROUTING((command, out) -> RoutingExperiment.run(command.seedList())),

		OVERLOAD((command, out) -> OverloadExperiment.run(command.seedList())),

		RETRY_STORM((command, out) -> RetryStormExperiment.run(command.seeds, out)),

		ORDERS((command, out) -> OrderExperiment.main(new String[0])),

		SPREAD((command, out) -> SpreadExperiment.run(1, out)),

		CONTROL_COST((command, out) -> ControlCostExperiment.run(1, Duration.parse(command.outage), command.sizeList(),
				out)),

		GROUPS((command, out) -> GroupExperiment.run(command.seeds, 1, "", out)),

		CONTROLLER_COST((command, out) -> ControllerCostExperiment.run(out)),

		SIGHT_TRAFFIC((command, out) -> SightTrafficExperiment.run(out));

		private final Measurement measurement;

		Experiment(Measurement measurement) {
			this.measurement = measurement;
		}

		String title() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

	/**
	 * A measurement.
	 */
	@FunctionalInterface
	private interface Measurement {

		/**
		 * Measures and prints the table.
		 * @param command the options given
		 * @param out takes the table
		 * @throws Exception if the measurement can't be made
		 */
		void run(ExperimentCommand command, PrintStream out) throws Exception;

	}

}
