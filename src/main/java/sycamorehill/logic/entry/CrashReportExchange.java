package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.model.serving.NodeMessage;

/**
 * Tells nodes which targets crashed and with which requests: those that have just
 * started, and those that were cut off while the others told each other.
 */
final class CrashReportExchange {

	/**
	 * Number of nodes that tell a new one; all of them would overwhelm it in a large
	 * cluster.
	 */
	private static final int NODES_TELLING_A_NEW_NODE = 5;

	/** Interval at which this node tells another one, drawn at random. */
	private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(500);

	/** The interval while no request is seen that a loss is held against. */
	private static final Duration IDLE_EXCHANGE_INTERVAL = Duration.ofSeconds(5);

	/** How long after the last such request the interval is short. */
	private static final Duration RECENT_TIME = Duration.ofSeconds(15);

	/** Maximum number of losses told in one exchange. */
	private static final int LOSSES_IN_EXCHANGE = 8;

	private final String self;

	private final PeerNodes peers;

	private final RequestDispatcher requests;

	private final RandomGenerator random;

	private Instant dueAt = Instant.MIN;

	private int nextLoss;

	private CrashReportExchange(String self, PeerNodes peers, RequestDispatcher requests, RandomGenerator random) {
		this.self = self;
		this.peers = peers;
		this.requests = requests;
		this.random = random;
	}

	static CrashReportExchange of(String self, PeerNodes peers, RequestDispatcher requests, RandomGenerator random) {
		return new CrashReportExchange(self, peers, requests, random);
	}

	/**
	 * Tells a node that has just started, if this node is one of those that do.
	 * @param newNode the node's name
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tellNewNode(String newNode, Instant now, Effects effects) {
		boolean tells = Stream.concat(Stream.of(this.self), this.peers.names().stream())
			.filter((name) -> !name.equals(newNode))
			.sorted(Comparator.comparingInt((name) -> (name + newNode).hashCode()))
			.limit(NODES_TELLING_A_NEW_NODE)
			.anyMatch(this.self::equals);
		if (tells) {
			this.requests.createCrashReports(now).forEach((report) -> this.peers.sendTo(newNode, report, effects));
		}
	}

	/**
	 * Tells a node, if that is due. It may have been cut off from the others.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		if (now.isBefore(this.dueAt)) {
			return;
		}
		List<NodeMessage.TargetLost> reports = this.requests.createCrashReports(now);
		List<String> names = this.peers.names();
		this.dueAt = now.plus(reports.isEmpty() ? EXCHANGE_INTERVAL : interval(reports.get(0)));
		if (reports.isEmpty() || names.isEmpty()) {
			return;
		}
		String node = names.get(this.random.nextInt(names.size()));
		int count = Math.min(LOSSES_IN_EXCHANGE, reports.size());
		for (int index = 0; index < count; index++) {
			this.peers.sendTo(node, reports.get(this.nextLoss++ % reports.size()), effects);
		}
	}

	private static Duration interval(NodeMessage.TargetLost newest) {
		return (newest.unseenFor().compareTo(RECENT_TIME) < 0) ? EXCHANGE_INTERVAL : IDLE_EXCHANGE_INTERVAL;
	}

}
