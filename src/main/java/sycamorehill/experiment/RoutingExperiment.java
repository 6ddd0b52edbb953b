package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

import sycamorehill.logic.routing.TargetChooser;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.DesiredState;

/**
 * Compares ways of choosing a target on the same seeds, before modelled engines: 60
 * engines and 6 nodes in 3 data centres, half of the callers in the first, one engine in
 * 20 four times slower, reports 100 to 350 ms old.
 */
public final class RoutingExperiment {

	private static final int DATA_CENTRES = 3;

	private static final int ENGINES_EACH = 20;

	private static final int NODES_EACH = 2;

	private static final double FIRST_SHARE = 0.5;

	private static final double STRAGGLING = 4;

	private static final Duration LENGTH = Duration.ofSeconds(40);

	private static final Duration WARM_UP = Duration.ofSeconds(10);

	private static final Duration PATIENCE = Duration.ofSeconds(60);

	private RoutingExperiment() {
	}

	/**
	 * Runs the experiment and prints its table.
	 * @param seeds one run of each chooser for each
	 */
	public static void run(List<Long> seeds) {
		System.out.printf("seeds %s, load as a share of capacity without cache hits%n", seeds);
		System.out.printf("%-18s %5s %9s %9s %9s %7s %7s%n", "chooser", "load", "p50 ms", "p95 ms", "p99 ms", "hits",
				"away");
		for (double load : new double[] { 0.5, 0.7, 0.9 }) {
			choosers().forEach((name, chooser) -> print(name, load, measure(chooser, load, seeds)));
		}
	}

	/**
	 * Runs the experiment.
	 * @param arguments the seeds, 1 to 5 if there are none
	 */
	public static void main(String[] arguments) {
		List<Long> seeds = new ArrayList<>();
		for (String argument : arguments) {
			seeds.add(Long.parseLong(argument));
		}
		run(seeds.isEmpty() ? List.of(1L, 2L, 3L, 4L, 5L) : seeds);
	}

	private static Map<String, TargetChooser> choosers() {
		Map<String, TargetChooser> choosers = new LinkedHashMap<>();
		choosers.put("random", TargetChooser.random());
		choosers.put("two choices", TargetChooser.twoChoices());
		choosers.put("least outstanding", TargetChooser.leastOutstanding());
		choosers.put("predicted", TargetChooser.lowestPredictedLatency());
		return choosers;
	}

	private static void print(String name, double load, Result result) {
		System.out.printf("%-18s %5.2f %9.0f %9.0f %9.0f %6.1f%% %6.1f%%%n", name, load,
				result.firstToken.getValueAtPercentile(50) / 1000.0,
				result.firstToken.getValueAtPercentile(95) / 1000.0,
				result.firstToken.getValueAtPercentile(99) / 1000.0, 100.0 * result.hits / result.blocks,
				100.0 * result.away / result.firstToken.getTotalCount());
	}

	private static Result measure(TargetChooser chooser, double load, List<Long> seeds) {
		Result result = new Result();
		for (long seed : seeds) {
			runOnce(chooser, load, seed, result);
		}
		return result;
	}

	private static void runOnce(TargetChooser chooser, double load, long seed, Result result) {
		VirtualTime time = new VirtualTime();
		Map<VmName, EngineModel> engines = engines(time);
		ModelNode.Setup setup = new ModelNode.Setup(Policy.standard(), DesiredState.empty(), chooser, engines,
				engines.values().stream().map(EngineModel::target).toList());
		Map<RequestDescription, Instant> sent = new LinkedHashMap<>();
		List<ModelNode> nodes = new ArrayList<>();
		for (int number = 0; number < DATA_CENTRES * NODES_EACH; number++) {
			NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(NodeName.of("n" + number), seed),
					dataCentre(number / NODES_EACH), Address.of("127.0.0.1", 1));
			nodes.add(ModelNode.create(time, identity, setup, (served) -> result.take(served, sent)));
		}
		new Arrivals(time, ModelLoad.of(seed), nodes, sent, load * ModelLoad.capacity(engines.size())).next();
		time.runUntil(Instant.EPOCH.plus(LENGTH));
		engines.values().forEach(result::take);
	}

	private static Map<VmName, EngineModel> engines(VirtualTime time) {
		Map<VmName, EngineModel> engines = new LinkedHashMap<>();
		for (int number = 0; number < DATA_CENTRES * ENGINES_EACH; number++) {
			double slowness = (number % ENGINES_EACH == 0) ? STRAGGLING : 1;
			EngineModel engine = EngineModel.create(time, number, dataCentre(number / ENGINES_EACH), ModelLoad.SERVICE,
					slowness);
			engines.put(engine.target().members().get(0), engine);
		}
		return engines;
	}

	private static DataCentreName dataCentre(int number) {
		return DataCentreName.of("dc" + number);
	}

	/**
	 * Callers' requests, half of them in the first data centre.
	 *
	 * @param time the virtual time
	 * @param load draws the requests
	 * @param nodes the nodes
	 * @param sent when each request came
	 * @param perSecond the rate
	 */
	private record Arrivals(VirtualTime time, ModelLoad load, List<ModelNode> nodes,
			Map<RequestDescription, Instant> sent, double perSecond) {

		private void next() {
			this.time.after(this.load.gap(this.perSecond), () -> {
				ModelNode node = this.nodes.get(node());
				RequestDescription request = this.load.request(node.identity().incarnation(), "w", this.time.now(),
						PATIENCE);
				this.sent.put(request, this.time.now());
				node.send(request);
				next();
			});
		}

		private int node() {
			if (this.load.draw() < FIRST_SHARE) {
				return (int) (this.load.draw() * NODES_EACH);
			}
			return NODES_EACH + (int) (this.load.draw() * (this.nodes.size() - NODES_EACH));
		}

	}

	/**
	 * What a chooser came to.
	 */
	private static final class Result {

		private final Histogram firstToken = new Histogram(3);

		private long away;

		private long blocks;

		private long hits;

		private void take(ModelNode.Served served, Map<RequestDescription, Instant> sent) {
			Instant came = sent.remove(served.request());
			if (came.isAfter(Instant.EPOCH.plus(WARM_UP))) {
				this.firstToken.recordValue(Duration.between(came, served.at()).toNanos() / 1000);
				this.away += served.away() ? 1 : 0;
			}
		}

		private void take(EngineModel engine) {
			this.blocks += engine.blocks();
			this.hits += engine.hits();
		}

	}

}
