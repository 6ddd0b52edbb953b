package sycamorehill.experiment;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import sycamorehill.experiment.ControlFleet.FleetNode;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.FilingOutcome;

/**
 * How long a ticket takes from its filing until it is in force on every node, over many
 * nodes as values in virtual time: undisturbed, and with a delegate that dies in the
 * moment in which it learns the ticket.
 */
public final class SpreadExperiment {

	private static final int[] SIZES = { 6, 50, 103, 206, 410 };

	private static final int TICKETS = 40;

	private static final Duration WATCHED = Duration.ofSeconds(25);

	private static final double NANOS_PER_MILLI = 1e6;

	private final PrintStream out;

	private SpreadExperiment(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs the experiment.
	 * @param arguments the seed, 1 if there is none
	 */
	public static void main(String[] arguments) {
		run((arguments.length > 0) ? Long.parseLong(arguments[0]) : 1, System.out);
	}

	/**
	 * Runs the experiment.
	 * @param seed the seed
	 * @param out takes the table
	 */
	public static void run(long seed, PrintStream out) {
		out.println("filing to in force; milliseconds of virtual time; hops from the platform; " + TICKETS
				+ " tickets each; seed " + seed);
		out.println("| nodes | centres | case | answered p50 | in force p50 | p99 | worst | hops p50 | most hops |"
				+ " not in force after " + WATCHED.toSeconds() + " s |");
		out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
		SpreadExperiment experiment = new SpreadExperiment(out);
		for (int size : SIZES) {
			experiment.measure(size, seed, false);
			experiment.measure(size, seed, true);
		}
	}

	private void measure(int size, long seed, boolean delegateDies) {
		int centres = (size <= 6) ? 3 : 4;
		ControlFleet fleet = ControlFleet.start(size, centres, seed, Policy.standard());
		fleet.runFor(Duration.ofSeconds(60));
		fleet.file(fleet.nodes().get(0), FleetTickets.whole());
		fleet.runFor(Duration.ofSeconds(30));
		List<Double> times = new ArrayList<>();
		List<Double> answers = new ArrayList<>();
		List<Double> hops = new ArrayList<>();
		int missing = 0;
		for (int ticket = 0; ticket < TICKETS; ticket++) {
			missing += one(fleet, ticket, delegateDies, times, answers, hops);
		}
		times.sort(Double::compare);
		answers.sort(Double::compare);
		hops.sort(Double::compare);
		this.out
			.println(String.format(Locale.ROOT, "| %d | %d | %s | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f | %d of %d |",
					size, centres, delegateDies ? "a delegate dies" : "undisturbed", at(answers, 0.5), at(times, 0.5),
					at(times, 0.99), at(times, 1), at(hops, 0.5), at(hops, 1), missing, missing + times.size()));
	}

	private int one(ControlFleet fleet, int ticket, boolean delegateDies, List<Double> times, List<Double> answers,
			List<Double> hops) {
		FleetNode filer = fleet.nodes().get(fleet.random().nextInt(fleet.nodes().size()));
		long number = filer.value().ticket().log().number() + 1;
		FleetNode victim = delegateDies ? delegate(fleet, filer) : null;
		if (victim != null) {
			fleet.dieOnLearning(victim, number);
		}
		Instant began = fleet.now();
		OperatorCallIdentifier call = fleet.file(filer,
				FleetTickets.change(filer.value().desiredState().get(), ticket));
		while (fleet.outcome(call) == null) {
			fleet.runFor(Duration.ofMillis(1));
		}
		answers.add(millis(began, fleet.now()));
		if (!(fleet.outcome(call) instanceof FilingOutcome.Accepted)) {
			throw new IllegalStateException("not accepted: " + fleet.outcome(call));
		}
		fleet.runFor(WATCHED);
		int missing = 0;
		for (FleetNode node : fleet.nodes()) {
			if (node.alive() && node.value().ticket().log().number() < number) {
				missing++;
			}
			else if (node.alive()) {
				times.add(millis(began, node.learntAt()));
				hops.add((double) node.hops());
			}
		}
		if (victim != null && !victim.alive()) {
			fleet.start(victim);
			fleet.runFor(WATCHED);
		}
		return missing;
	}

	private FleetNode delegate(ControlFleet fleet, FleetNode filer) {
		List<FleetNode> delegates = new ArrayList<>();
		for (FleetNode node : fleet.nodes()) {
			if (node != filer && node.value().isDelegate()) {
				delegates.add(node);
			}
		}
		return delegates.get(fleet.random().nextInt(delegates.size()));
	}

	private static double millis(Instant from, Instant to) {
		return Duration.between(from, to).toNanos() / NANOS_PER_MILLI;
	}

	private static double at(List<Double> sorted, double part) {
		int index = (int) Math.ceil(part * sorted.size()) - 1;
		return sorted.isEmpty() ? Double.NaN : sorted.get(Math.max(0, index));
	}

}
