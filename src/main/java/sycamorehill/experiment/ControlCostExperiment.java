package sycamorehill.experiment;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import sycamorehill.experiment.ControlFleet.FleetNode;
import sycamorehill.experiment.FleetCounters.Spent;
import sycamorehill.model.policy.Policy;

/**
 * What tickets and membership cost a node at several sizes: bytes sent and received,
 * processor time of the reducer, heap, and the platform calls of all nodes together,
 * idle, with 500 tickets a day, in an outage of the platform and in the minute after it.
 */
public final class ControlCostExperiment {

	private static final int[] SIZES = { 6, 50, 103, 206, 410 };

	private static final Duration SETTLE = Duration.ofMinutes(3);

	private static final Duration IDLE = Duration.ofMinutes(10);

	private static final Duration BETWEEN_TICKETS = Duration.ofDays(1).dividedBy(500);

	private static final int TICKETS = 4;

	private static final double KILO = 1000;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double NANOS_PER_MICRO = 1e3;

	/** TCP and IP headers of a frame and of its acknowledgement. */
	private static final int HEADER_BYTES = 104;

	private final PrintStream out;

	private ControlCostExperiment(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs the experiment.
	 * @param arguments the seed, 1 if there is none; the minutes of the outage, 60 if
	 * there are none; and the sizes, all if there are none
	 */
	public static void main(String[] arguments) {
		long seed = (arguments.length > 0) ? Long.parseLong(arguments[0]) : 1;
		long minutes = (arguments.length > 1) ? Long.parseLong(arguments[1]) : 60;
		int[] sizes = Arrays.stream(arguments).skip(2).mapToInt(Integer::parseInt).toArray();
		run(seed, Duration.ofMinutes(minutes), (sizes.length > 0) ? sizes : SIZES, System.out);
	}

	/**
	 * Runs the experiment.
	 * @param seed the seed
	 * @param outage how long the platform is away
	 * @param sizes how many nodes there are
	 * @param out takes the table
	 */
	public static void run(long seed, Duration outage, int[] sizes, PrintStream out) {
		out.println("per node and second; bytes sent and received, in frames and with " + HEADER_BYTES
				+ " bytes of TCP and IP headers a frame; seed " + seed + "; outage of " + outage.toMinutes() + " min");
		out.println("| nodes | phase | bytes mean | most | with headers mean | most | reducer us mean | most |"
				+ " codec us a message | heap KB | calls a second of all nodes, by kind |");
		out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
		ControlCostExperiment experiment = new ControlCostExperiment(out);
		for (int size : sizes) {
			experiment.measure(size, seed, outage);
		}
	}

	private void measure(int size, long seed, Duration outage) {
		long heapBefore = heap();
		ControlFleet fleet = ControlFleet.start(size, (size <= 6) ? 3 : 4, seed, Policy.standard());
		phase(fleet, "first minute", Duration.ofMinutes(1), heapBefore);
		fleet.file(fleet.nodes().get(0), FleetTickets.whole());
		fleet.runFor(SETTLE);
		phase(fleet, "idle", IDLE, heapBefore);
		fleet.counters().reset();
		for (int ticket = 0; ticket < TICKETS; ticket++) {
			FleetNode filer = fleet.nodes().get(fleet.random().nextInt(size));
			fleet.file(filer, FleetTickets.change(filer.value().desiredState().get(), ticket));
			fleet.runFor(BETWEEN_TICKETS);
		}
		print(fleet, "500 tickets a day", BETWEEN_TICKETS.multipliedBy(TICKETS), heapBefore);
		fleet.platformDown(true);
		phase(fleet, "outage", outage, heapBefore);
		fleet.platformDown(false);
		phase(fleet, "minute after", Duration.ofMinutes(1), heapBefore);
	}

	private void phase(ControlFleet fleet, String name, Duration length, long heapBefore) {
		fleet.counters().reset();
		fleet.runFor(length);
		print(fleet, name, length, heapBefore);
	}

	private void print(ControlFleet fleet, String name, Duration length, long heapBefore) {
		double seconds = length.toNanos() / NANOS_PER_SECOND;
		FleetCounters counters = fleet.counters();
		List<Spent> spent = new ArrayList<>();
		fleet.nodes().forEach((node) -> spent.add(counters.spent(node)));
		ToDoubleFunction<Spent> bytes = (node) -> node.bytes() / seconds;
		ToDoubleFunction<Spent> whole = (node) -> (node.bytes() + HEADER_BYTES * node.frames()) / seconds;
		ToDoubleFunction<Spent> micros = (node) -> node.nanos() / NANOS_PER_MICRO / seconds;
		StringBuilder calls = new StringBuilder();
		for (Map.Entry<String, Integer> entry : counters.calls().entrySet()) {
			calls.append(String.format(Locale.ROOT, "%s %.2f ", entry.getKey(), entry.getValue() / seconds));
		}
		this.out.println(
				String.format(Locale.ROOT, "| %d | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %s|",
						spent.size(), name, mean(spent, bytes), most(spent, bytes), mean(spent, whole),
						most(spent, whole), mean(spent, micros), most(spent, micros),
						counters.codingNanos() / NANOS_PER_MICRO, (heap() - heapBefore) / KILO / spent.size(), calls));
	}

	private static double mean(List<Spent> spent, ToDoubleFunction<Spent> value) {
		return spent.stream().mapToDouble(value).average().orElse(0);
	}

	private static double most(List<Spent> spent, ToDoubleFunction<Spent> value) {
		return spent.stream().mapToDouble(value).max().orElse(0);
	}

	private static long heap() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
