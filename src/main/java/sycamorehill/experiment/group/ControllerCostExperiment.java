package sycamorehill.experiment.group;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;

import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Measures what a controller's decision costs at several sizes of a data centre: the time
 * of the step that decides, the heap of the node's state, and its calls to the platform.
 */
public final class ControllerCostExperiment {

	private static final int[] ENGINES = { 40, 163, 325, 650 };

	private static final int MEMBERS = 16;

	private static final int DOMAINS = 4;

	private static final int SMALL = 100;

	private static final int STEPS = 4000;

	private static final int WARM_UP = 2000;

	private static final Duration FORMING = Duration.ofMinutes(4);

	private static final Duration WATCHED = Duration.ofMinutes(1);

	private static final double MEBIBYTE = 1024.0 * 1024;

	private ControllerCostExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		run(System.out);
	}

	/**
	 * Runs the experiment.
	 * @param out takes the table
	 */
	public static void run(PrintStream out) {
		out.printf("%8s %8s %12s %12s %12s %14s %12s%n", "engines", "groups", "median us", "99th us", "core share",
				"calls a second", "heap MiB");
		for (int engines : ENGINES) {
			measure(engines, out);
		}
	}

	private static void measure(int engines, PrintStream out) {
		long heapBefore = heap();
		GroupTrial trial = formed(engines);
		double heap = (heap() - heapBefore) / MEBIBYTE / trial.nodes().size();
		long callsBefore = trial.figures().platformCalls();
		trial.run(WATCHED);
		double calls = (trial.figures().platformCalls() - callsBefore) / (double) WATCHED.toSeconds();
		Allocation allocation = trial.allocation(DataCentreName.of("dc0"));
		long[] times = steps(trial);
		double median = times[times.length / 2] / 1000.0;
		double high = times[times.length * 99 / 100] / 1000.0;
		double decisions = 1000.0 / Policy.standard().group().decisionInterval().toMillis();
		out.printf(Locale.ROOT, "%8d %8d %12.0f %12.0f %11.3f%% %14.1f %12.2f%n", engines, allocation.groups().size(),
				median, high, median * decisions / 1e6 * 100, calls, heap);
	}

	private static GroupTrial formed(int engines) {
		int domains = (engines < SMALL) ? 2 : DOMAINS;
		GroupTrial trial = GroupTrial.create(new TrialSettings(Policy.standard(), 1, 2, domains,
				(engines + domains - 1) / domains, Duration.ofSeconds(1), engines, Duration.ofSeconds(2), 1),
				PlainTrialPlatform.create());
		ServiceName service = ServiceName.of("drafts");
		int groups = (engines / domains) / MEMBERS * domains;
		trial.file(ServiceItem.model(service, "model", "1"), new ModelGroupItem(GroupSetName.of("drafts"), service,
				DataCentreName.of("dc0"), groups, MEMBERS, 0, false, true));
		trial.run(FORMING);
		return trial;
	}

	// Each step begins with the same state, at a time at which a decision is due.
	private static long[] steps(GroupTrial trial) {
		TrialNode controller = trial.nodes()
			.stream()
			.filter((node) -> node.controls(trial.now()))
			.findFirst()
			.orElseThrow();
		long[] times = new long[STEPS];
		for (int step = -WARM_UP; step < STEPS; step++) {
			TrialNode copy = controller.copy();
			long start = System.nanoTime();
			copy.take(trial.now().plus(Policy.standard().group().decisionInterval()),
					new NodeEvent.Ticked(trial.now()));
			if (step >= 0) {
				times[step] = System.nanoTime() - start;
			}
		}
		Arrays.sort(times);
		return times;
	}

	private static long heap() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
