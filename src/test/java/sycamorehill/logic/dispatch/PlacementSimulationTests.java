package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates many nodes that place requests on the same groups, by load reports some
 * hundred milliseconds old.
 */
class PlacementSimulationTests {

	// 67 nodes see the same group free in the same old report and all send there. The
	// group queues while others have free slots: one stream in nine starts late with a
	// third of the slots unused.
	@Test
	void manyNodesDoNotAllChooseTheSameGroup() {
		assertThat(Simulation.lateShare(67, 24, 200)).isLessThan(0.05);
	}

	@Test
	void manyNodesUseThreeQuartersOfTheSlots() {
		assertThat(Simulation.lateShare(67, 24, 240)).isLessThan(0.18);
	}

	@Test
	void fewNodesCompareAllTargets() {
		assertThat(Simulation.lateShare(6, 12, 100)).isLessThan(0.01);
	}

	/**
	 * Nodes, groups with 12 slots each and a request rate, in steps of one millisecond.
	 */
	private static final class Simulation {

		private static final int SLOTS = 12;

		private static final Instant BEGIN = Instant.ofEpochSecond(1000);

		private static final long LATE_MILLIS = 100;

		private static final int SEEDS = 5;

		private final Random random;

		private final List<Candidate> candidates = new ArrayList<>();

		private final List<Group> groups = new ArrayList<>();

		private final List<Node> nodes = new ArrayList<>();

		private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
				(one, other) -> Long.compare(one.at, other.at));

		private final double requestsPerSecond;

		private final long broadcastIntervalMillis;

		private int placed;

		private int late;

		private Simulation(int nodeCount, int groupCount, double requestsPerSecond, Random random) {
			this.random = random;
			this.requestsPerSecond = requestsPerSecond;
			this.broadcastIntervalMillis = Math.max(200, nodeCount * 1000L / 3 / 60);
			for (int index = 0; index < groupCount; index++) {
				TargetEntry entry = ServingSamples.member("g" + index, "small.1" + index, 1, 0, MemberState.OPEN);
				this.candidates.add(new Candidate(entry, SLOTS, Optional.of(ServingSamples.SMALL),
						Optional.of(ServingSamples.engineFigures())));
				this.groups.add(new Group());
			}
			for (int index = 0; index < nodeCount; index++) {
				this.nodes.add(new Node("n" + index, new Random(index)));
			}
		}

		/**
		 * Runs the simulation with five seeds.
		 * @param nodeCount number of nodes
		 * @param groupCount number of groups
		 * @param requestsPerSecond requests per second, of 0.9 s each
		 * @return share of the requests that queued for a slot too long
		 */
		static double lateShare(int nodeCount, int groupCount, double requestsPerSecond) {
			double sum = 0;
			for (int seed = 1; seed <= SEEDS; seed++) {
				Simulation simulation = new Simulation(nodeCount, groupCount, requestsPerSecond, new Random(seed));
				simulation.nodes.forEach((node) -> node.placement.setNodeCount(nodeCount));
				simulation.run();
				sum += simulation.lateShare();
			}
			return sum / SEEDS;
		}

		private double lateShare() {
			return (double) this.late / this.placed;
		}

		private void run() {
			for (long now = 0; now < 12_000; now++) {
				while (!this.events.isEmpty() && this.events.peek().at <= now) {
					this.events.poll().action.run();
				}
				if (this.random.nextDouble() < this.requestsPerSecond / 1000) {
					place(this.nodes.get(this.random.nextInt(this.nodes.size())), now);
				}
				broadcastLoads(now);
			}
		}

		private void broadcastLoads(long now) {
			for (int index = 0; index < this.nodes.size(); index++) {
				if ((now + index * 37L) % this.broadcastIntervalMillis != 0) {
					continue;
				}
				Node sender = this.nodes.get(index);
				NodeMessage.Loads loads = new NodeMessage.Loads(sender.name, DataCentreName.of("north"), true,
						sender.statuses.inFlightByTarget());
				boolean toAllNodes = (now / this.broadcastIntervalMillis) % 5 == 0 || this.nodes.size() < 13;
				for (int other = 0; other < this.nodes.size(); other++) {
					if (other != index && (toAllNodes || other % 3 == index % 3)) {
						this.nodes.get(other).statuses.handleReport(loads, at(now));
					}
				}
			}
		}

		private void place(Node node, long now) {
			Placement.Choice choice = node.placement
				.choose(node.placement.sample(this.candidates), Set.of(), node.statuses.byTarget(), Optional.empty(),
						at(now))
				.orElseThrow();
			Group group = this.groups.get(this.candidates.indexOf(choice.candidate()));
			node.statuses.getOrCreate(choice.candidate().entry().name()).recordSent(SLOTS);
			this.placed++;
			group.queue.add(new QueuedRequest(node, choice.candidate(), now));
			group.serve(now);
		}

		private static Instant at(long millis) {
			return BEGIN.plusMillis(millis);
		}

		/**
		 * A node that places requests.
		 */
		private static final class Node {

			private final String name;

			private final TargetStatusRegistry statuses = TargetStatusRegistry.create();

			private final Placement placement;

			Node(String name, Random random) {
				this.name = name;
				this.placement = Placement.of(DataCentreName.of("north"), random);
			}

		}

		/**
		 * A group and its queue.
		 */
		private final class Group {

			private final Deque<QueuedRequest> queue = new ArrayDeque<>();

			private int running;

			void serve(long now) {
				while (this.running < SLOTS && !this.queue.isEmpty()) {
					QueuedRequest next = this.queue.poll();
					this.running++;
					if (now - next.queuedAt > LATE_MILLIS) {
						Simulation.this.late++;
					}
					begin(next, now);
				}
			}

			private void begin(QueuedRequest request, long now) {
				TargetStatus status = request.node.statuses.getOrCreate(request.candidate.entry().name());
				Simulation.this.events.add(new ScheduledEvent(now + 130, () -> {
					status.recordReport(new EngineLoad(this.running, this.queue.size(), SLOTS), at(now + 130));
					status.recordFirstAnswer(Duration.ofMillis(now + 130 - request.queuedAt), at(now + 130));
				}));
				long time = 200 + (long) (-700 * Math.log(1 - Simulation.this.random.nextDouble()));
				Simulation.this.events.add(new ScheduledEvent(now + time, () -> {
					status.recordEnded();
					this.running--;
					serve(now + time);
				}));
			}

		}

		/**
		 * A request in a group's queue.
		 */
		private record QueuedRequest(Node node, Candidate candidate, long queuedAt) {
		}

		/**
		 * An action at a later time.
		 */
		private record ScheduledEvent(long at, Runnable action) {
		}

	}

}
