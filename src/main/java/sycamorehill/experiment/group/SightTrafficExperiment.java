package sycamorehill.experiment.group;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.policy.ObservationPolicy;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Measures what the sights and their spreading cost each node on the wire, today and at
 * the letter's size.
 */
public final class SightTrafficExperiment {

	private static final Duration FORMING = Duration.ofSeconds(70);

	private static final Duration WATCHED = Duration.ofSeconds(30);

	/** Request and answer of one report over HTTP, with the headers of TCP and IP. */
	private static final int REPORT_BYTES = 800;

	private SightTrafficExperiment() {
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
		out.printf("%-32s %10s %10s %10s %10s %10s %10s%n", "size", "sent mean", "sent max", "recv mean", "recv max",
				"asks mean", "all max");
		ObservationPolicy today = ObservationPolicy.standard();
		measure("today: 3 x 2 nodes, 3 x 20 VMs", 3, 2, 2, 10, 3, today, out);
		ObservationPolicy large = new ObservationPolicy(Duration.ofSeconds(2), Duration.ofSeconds(4),
				Duration.ofSeconds(4), Duration.ofSeconds(8), today.observersPerVm(), today.vmsPerShare(),
				today.stewards(), Duration.ofSeconds(2), today.relayFanOut(), today.leavingMemory());
		measure("letter: 4 x 103 nodes, 4 x 164 VMs", 4, 103, 4, 41, 16, large, out);
	}

	private static void measure(String name, int dataCentres, int nodes, int domains, int vms, int members,
			ObservationPolicy observation, PrintStream out) {
		Policy standard = Policy.standard();
		Policy policy = new Policy(standard.admission(), standard.routing(), standard.request(), standard.health(),
				standard.quarantine(), standard.order(), standard.ticket(), standard.membership(), standard.group(),
				observation);
		GroupTrial trial = GroupTrial.create(new TrialSettings(policy, dataCentres, nodes, domains, vms,
				Duration.ofSeconds(1), 1000, Duration.ofSeconds(2), 1), PlainTrialPlatform.create());
		ServiceName service = ServiceName.of("drafts");
		trial.file(ServiceItem.model(service, "model", "1"));
		for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
			trial.file(new ModelGroupItem(GroupSetName.of("drafts" + dataCentre), service,
					DataCentreName.of("dc" + dataCentre), vms / members * domains, members, 0, false, true));
		}
		trial.run(FORMING);
		trial.traffic().restart();
		trial.run(WATCHED);
		print(name, trial, out);
	}

	private static void print(String name, GroupTrial trial, PrintStream out) {
		TrialTraffic traffic = trial.traffic();
		double seconds = WATCHED.toSeconds();
		double[] sent = rates(trial, (node) -> traffic.sent(node) / seconds);
		double[] received = rates(trial, (node) -> traffic.received(node) / seconds);
		double[] asked = rates(trial, (node) -> traffic.asked(node) / seconds);
		double[] all = rates(trial,
				(node) -> (traffic.sent(node) + traffic.received(node) + REPORT_BYTES * traffic.asked(node)) / seconds);
		out.printf(Locale.ROOT, "%-32s %10.0f %10.0f %10.0f %10.0f %10.2f %10.0f%n", name, mean(sent), max(sent),
				mean(received), max(received), mean(asked), max(all));
	}

	private static double[] rates(GroupTrial trial, ToDoubleFunction<TrialNode> rate) {
		return IntStream.range(0, trial.nodes().size())
			.mapToDouble((index) -> rate.applyAsDouble(trial.nodes().get(index)))
			.toArray();
	}

	private static double mean(double[] values) {
		return Arrays.stream(values).average().orElse(0);
	}

	private static double max(double[] values) {
		return Arrays.stream(values).max().orElse(0);
	}

}
