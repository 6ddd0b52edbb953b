package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.routing.TargetChooser;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.policy.AdmissionPolicy;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Offers from half to three times what the engines carry, and counts the requests whose
 * first token came by their deadline: 2 nodes before 6 modelled engines, 3 large
 * workspaces that make the load and 7 small ones that always offer 1 in 100 of capacity
 * each.
 */
public final class OverloadExperiment {

	private static final DataCentreName HERE = DataCentreName.of("one");

	private static final int ENGINES = 6;

	private static final int NODES = 2;

	private static final int LARGE = 3;

	private static final int SMALL = 7;

	private static final double SMALL_OFFER = 0.01;

	private static final Duration PATIENCE = Duration.ofSeconds(2);

	private static final Duration WARM_UP = Duration.ofSeconds(10);

	private static final Duration LENGTH = Duration.ofSeconds(70);

	private static final Duration LAST_GAP = Duration
		.ofMillis((long) (1000 * EngineModel.TOKEN_GAP * (1 + EngineModel.SLOWDOWN * EngineModel.MOST_RUNNING)));

	private OverloadExperiment() {
	}

	/**
	 * Runs the experiment and prints its table.
	 * @param seeds one run of each way for each
	 */
	public static void run(List<Long> seeds) {
		System.out.printf("seeds %s, capacity without cache hits %.1f requests/s, deadline %s for the first token%n",
				seeds, ModelLoad.capacity(ENGINES), PATIENCE);
		System.out.printf("%-12s %5s %9s %9s %9s %9s %12s%n", "admission", "load", "goodput/s", "of peak", "small",
				"late", "worst late ms");
		for (Way way : Way.values()) {
			printWay(way, seeds);
		}
	}

	/**
	 * Runs the experiment.
	 * @param arguments the seeds, 1 to 3 if there are none
	 */
	public static void main(String[] arguments) {
		List<Long> seeds = new ArrayList<>();
		for (String argument : arguments) {
			seeds.add(Long.parseLong(argument));
		}
		run(seeds.isEmpty() ? List.of(1L, 2L, 3L) : seeds);
	}

	private static void printWay(Way way, List<Long> seeds) {
		Map<Double, Result> results = new LinkedHashMap<>();
		double peak = 0;
		for (double load : new double[] { 0.5, 0.75, 1, 1.25, 1.5, 2, 3 }) {
			Result result = new Result();
			seeds.forEach((seed) -> runOnce(way, load, seed, result));
			results.put(load, result);
			peak = Math.max(peak, result.onTime);
		}
		double seconds = LENGTH.minus(WARM_UP).toSeconds() * (double) seeds.size();
		for (Map.Entry<Double, Result> entry : results.entrySet()) {
			Result result = entry.getValue();
			System.out.printf("%-12s %5.2f %9.1f %8.1f%% %8.1f%% %8.2f%% %12d%n", way.name().toLowerCase(),
					entry.getKey(), result.onTime / seconds, 100 * result.onTime / peak,
					100.0 * result.smallOnTime / result.smallOffered, 100.0 * result.late / result.sent,
					result.worst.toMillis());
		}
	}

	private static void runOnce(Way way, double load, long seed, Result result) {
		VirtualTime time = new VirtualTime();
		Map<VmName, EngineModel> engines = new LinkedHashMap<>();
		for (int number = 0; number < ENGINES; number++) {
			EngineModel engine = EngineModel.create(time, number, HERE, ModelLoad.SERVICE, 1);
			engines.put(engine.target().members().get(0), engine);
		}
		ModelNode.Setup setup = new ModelNode.Setup(way.policy(), truth(), TargetChooser.lowestPredictedLatency(),
				engines, engines.values().stream().map(EngineModel::target).toList());
		List<ModelNode> nodes = new ArrayList<>();
		for (int number = 0; number < NODES; number++) {
			NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(NodeName.of("n" + number), seed), HERE,
					Address.of("127.0.0.1", 1));
			nodes.add(ModelNode.create(time, identity, setup, result::take));
		}
		ModelLoad draws = ModelLoad.of(seed);
		double capacity = ModelLoad.capacity(ENGINES);
		for (int number = 0; number < SMALL; number++) {
			new Caller(time, draws, nodes, way, "small-" + number, SMALL_OFFER * capacity, result).next();
		}
		double large = (load - SMALL * SMALL_OFFER) * capacity / LARGE;
		for (int number = 0; number < LARGE; number++) {
			new Caller(time, draws, nodes, way, "large-" + number, large, result).next();
		}
		time.runUntil(Instant.EPOCH.plus(LENGTH));
	}

	private static DesiredState truth() {
		List<AppliedItem> items = new ArrayList<>();
		PlainTarget target = new PlainTarget(TargetName.of("t"), HERE, Address.of("127.0.0.1", 1));
		items.add(new AppliedItem(ServiceItem.plain(ServiceName.of("desk"), List.of(target), List.of()), 1));
		items.add(new AppliedItem(ServiceItem.model(ModelLoad.SERVICE, "model", "1"), 1));
		for (int number = 0; number < Math.max(SMALL, LARGE); number++) {
			items.add(new AppliedItem(workspace("small-" + number), 1));
			items.add(new AppliedItem(workspace("large-" + number), 1));
		}
		return DesiredState.of(1, items);
	}

	private static WorkspaceItem workspace(String name) {
		return new WorkspaceItem(WorkspaceName.of(name), name, 1e6, 1e9, 1_000_000, 1);
	}

	/**
	 * The ways of admission that are compared.
	 */
	private enum Way {

		NONE, FIXED, GRADIENT;

		private Policy policy() {
			Policy policy = Policy.standard();
			if (this != FIXED) {
				return policy;
			}
			AdmissionPolicy usual = policy.admission();
			int places = ENGINES * EngineModel.MOST_RUNNING / NODES;
			AdmissionPolicy fixed = new AdmissionPolicy(usual.queueLimit(), usual.longestWait(),
					usual.longestLimitWait(), usual.priorityStep(), places, places, places, usual.latencyTolerance(),
					usual.nodesPerDataCentre(), usual.shareLease(), usual.shareInterval(), usual.shareFanOut());
			return new Policy(fixed, policy.routing(), policy.request(), policy.health(), policy.quarantine(),
					policy.order(), policy.ticket(), policy.membership(), policy.group(), policy.observation());
		}

	}

	/**
	 * One workspace's callers, who come to either node.
	 */
	private record Caller(VirtualTime time, ModelLoad draws, List<ModelNode> nodes, Way way, String workspace,
			double perSecond, Result result) {

		private void next() {
			this.time.after(this.draws.gap(this.perSecond), () -> {
				ModelNode node = this.nodes.get((int) (this.draws.draw() * this.nodes.size()));
				RequestDescription request = this.draws.request(node.identity().incarnation(), this.workspace,
						this.time.now(), PATIENCE);
				this.result.offer(request, this.time.now());
				if (this.way == Way.NONE) {
					node.send(request);
				}
				else {
					node.arrive(request);
				}
				next();
			});
		}

	}

	/**
	 * What a way of admission came to.
	 */
	private static final class Result {

		private double onTime;

		private long smallOnTime;

		private long smallOffered;

		private long sent;

		private long late;

		private Duration worst = Duration.ZERO;

		private void offer(RequestDescription request, Instant now) {
			if (counts(request, now) && isSmall(request)) {
				this.smallOffered++;
			}
		}

		private void take(ModelNode.Served served) {
			RequestDescription request = served.request();
			if (!counts(request, request.deadline().minus(PATIENCE))) {
				return;
			}
			this.sent++;
			Duration lateness = Duration.between(request.deadline(), served.at());
			this.worst = (lateness.compareTo(this.worst) > 0) ? lateness : this.worst;
			this.late += (lateness.compareTo(LAST_GAP) > 0) ? 1 : 0;
			if (!lateness.isNegative() && !lateness.isZero()) {
				return;
			}
			this.onTime++;
			this.smallOnTime += isSmall(request) ? 1 : 0;
		}

		private static boolean counts(RequestDescription request, Instant came) {
			return came.isAfter(Instant.EPOCH.plus(WARM_UP))
					&& came.isBefore(Instant.EPOCH.plus(LENGTH).minus(PATIENCE));
		}

		private static boolean isSmall(RequestDescription request) {
			return request.keyHash().startsWith("small");
		}

	}

}
