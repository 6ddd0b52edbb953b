package sycamorehill.experiment.group;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.policy.GroupPolicy;
import sycamorehill.model.policy.GroupWeights;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.policy.RepairRules;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Measures group downtime and stranded VMs of the repair policy for both users' weights
 * against two plain baselines, on the same seeds and the same schedule of failures.
 * Arguments: the number of seeds, the first seed, a part of the name of a policy.
 */
public final class GroupExperiment {

	private static final int DATA_CENTRES = 3;

	private static final int GROUPS = 6;

	private static final int MEMBERS = 3;

	private static final Duration LOAD = Duration.ofSeconds(60);

	private static final int STORE_LOADS = 12;

	private static final Duration AT_ONCE = Duration.ofSeconds(2);

	private static final int ALL_LOADS = 1000;

	private static final List<Contender> CONTENDERS = List.of(
			new Contender("Kurokawa, weights 0.2", standard().withWeights(new GroupWeights(0.2))),
			new Contender("Agnishikha, weights 0.8", standard().withWeights(new GroupWeights(0.8))),
			new Contender("rebuild at once, no spare", baseline(0)),
			new Contender("rebuild at once, spare a domain", baseline(1)));

	private GroupExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments the number of seeds, the first seed, a part of the name of a
	 * policy
	 */
	public static void main(String[] arguments) {
		long seeds = (arguments.length > 0) ? Long.parseLong(arguments[0]) : 10;
		long first = (arguments.length > 1) ? Long.parseLong(arguments[1]) : 1;
		run(seeds, first, (arguments.length > 2) ? arguments[2] : "", System.out);
	}

	/**
	 * Runs the experiment.
	 * @param seeds how many seeds
	 * @param first the first seed
	 * @param part only policies with this in their name
	 * @param out takes the table
	 */
	public static void run(long seeds, long first, String part, PrintStream out) {
		out.printf(Locale.ROOT, "seeds %d to %d, %d data centres, %d groups of %d VMs in each, load %s%n", first,
				first + seeds - 1, DATA_CENTRES, GROUPS, MEMBERS, LOAD);
		out.printf("%-34s %10s %10s %10s %12s %8s %8s %6s%n", "policy", "downtime", "bound", "ratio", "stranded",
				"loads", "broken", "wrong");
		for (Contender contender : CONTENDERS.stream().filter((each) -> each.name.contains(part)).toList()) {
			List<TrialFigures> figures = LongStream.range(first, first + seeds)
				.parallel()
				.mapToObj((seed) -> trial(contender.policy, seed))
				.toList();
			double downtime = figures.stream().mapToDouble(TrialFigures::downtimeSeconds).average().orElse(0);
			double bound = figures.stream().mapToDouble(TrialFigures::boundSeconds).average().orElse(0);
			out.printf(Locale.ROOT, "%-34s %10.0f %10.0f %10.2f %12.0f %8.1f %8.1f %6d%n", contender.name, downtime,
					bound, downtime / bound,
					figures.stream().mapToDouble(TrialFigures::strandedSeconds).average().orElse(0),
					figures.stream().mapToLong(TrialFigures::generations).average().orElse(0) - DATA_CENTRES * GROUPS,
					figures.stream().mapToLong(TrialFigures::brokenStreams).average().orElse(0),
					figures.stream().mapToInt((each) -> each.violations().size()).sum());
		}
	}

	private static TrialFigures trial(GroupPolicy groups, long seed) {
		Policy standard = Policy.standard();
		Policy policy = new Policy(standard.admission(), standard.routing(), standard.request(), standard.health(),
				standard.quarantine(), standard.order(), standard.ticket(), standard.membership(), groups,
				standard.observation());
		PlainTrialPlatform platform = PlainTrialPlatform.create();
		GroupTrial trial = GroupTrial.create(
				new TrialSettings(policy, DATA_CENTRES, 2, 2, 10, LOAD, STORE_LOADS, Duration.ofSeconds(5), seed),
				platform);
		ServiceName service = ServiceName.of("drafts");
		trial.file(ServiceItem.model(service, "model", "1"));
		for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
			trial.file(new ModelGroupItem(GroupSetName.of("drafts" + dataCentre), service,
					DataCentreName.of("dc" + dataCentre), GROUPS, MEMBERS, 0, false, true));
		}
		trial.run(Duration.ofMinutes(15));
		trial.restartFigures();
		FaultSchedule.plan(trial, platform, seed);
		trial.run(FaultSchedule.LENGTH);
		return trial.figures();
	}

	private static GroupPolicy standard() {
		return GroupPolicy.standard();
	}

	private static GroupPolicy baseline(int sparesADomain) {
		return standard().withRepair(new RepairRules(AT_ONCE, sparesADomain, true, false, true))
			.withConcurrentLoads(ALL_LOADS);
	}

	private record Contender(String name, GroupPolicy policy) {

	}

}
