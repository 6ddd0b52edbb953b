package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

/**
 * Holds the other entry nodes: their addresses, and when their last messages arrived.
 */
final class PeerNodes {

	/**
	 * A node that sends nothing for this long is not live: in a small cluster, a live one
	 * sends 25 messages.
	 */
	static final Duration MINIMUM_LIVENESS_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Number of consecutive messages of a node that may be lost while it counts as live.
	 */
	private static final int MAXIMUM_MISSED_MESSAGES = 2;

	/** A load report is out of date after about the duration of an event. */
	private static final Duration MINIMUM_LOAD_INTERVAL = Duration.ofMillis(200);

	/**
	 * Maximum number of load messages that a node receives per second: small VMs have
	 * little processor time and bandwidth besides those that their callers need.
	 */
	private static final int MAXIMUM_LOAD_MESSAGES_PER_SECOND = 60;

	/** Number of peers up to which all receive loads at the minimum interval. */
	private static final int MAXIMUM_PEERS_OF_SMALL_CLUSTER = 12;

	/**
	 * Number of sends within the data centre per send to other data centres: each data
	 * centre has its own targets, which its nodes prefer.
	 */
	private static final int SENDS_PER_REMOTE_SEND = 5;

	private final NodeRecord self;

	private final DataCentreName localDataCentre;

	private Instant loadsSentAt = Instant.MIN;

	private int loadSendCount;

	private final Map<String, NodeRecord> nodes = new HashMap<>();

	private final Map<String, Instant> lastReceived = new HashMap<>();

	private final StoreReports storeReports = StoreReports.create();

	private final RelayNodes relays = RelayNodes.create();

	private final Map<DataCentreName, NodeCount> nodeCounts = new HashMap<>();

	private PeerNodes(NodeRecord self) {
		this.self = self;
		this.localDataCentre = self.dataCentre();
	}

	static PeerNodes of(NodeRecord self) {
		return new PeerNodes(self);
	}

	/**
	 * Replaces the peers by all nodes that the store lists. A missing node stays as long
	 * as its messages arrive: the list may be older than its start.
	 * @param listed the listed nodes
	 * @param now the current time
	 */
	void updateNodes(List<NodeRecord> listed, Instant now) {
		Set<String> names = listed.stream().map(NodeRecord::name).collect(Collectors.toSet());
		Instant since = now.minus(livenessTimeout());
		for (String node : List.copyOf(this.nodes.keySet())) {
			if (!names.contains(node) && !receivedAfter(node, since)) {
				remove(node);
			}
		}
		listed.forEach((node) -> add(node, now));
	}

	private void add(NodeRecord node, Instant now) {
		if (!node.name().equals(this.self.name())) {
			this.nodes.put(node.name(), node);
			this.lastReceived.putIfAbsent(node.name(), now);
		}
	}

	private void remove(String node) {
		this.nodes.remove(node);
		this.lastReceived.remove(node);
		this.storeReports.remove(node);
	}

	void handleMessage(NodeMessage message, Instant now) {
		this.lastReceived.put(message.sender(), now);
		if (message instanceof NodeMessage.Loads loads) {
			this.storeReports.record(loads, now);
		}
		else if (message instanceof NodeMessage.SummedLoads added) {
			for (LoadSum sum : added.sums()) {
				this.lastReceived.put(sum.aggregator(), now);
				this.nodeCounts.put(sum.dataCentre(), new NodeCount(sum.liveNodes(), now));
			}
		}
		else if (message instanceof NodeMessage.Introduction introduction) {
			add(introduction.node(), now);
		}
		else if (message instanceof NodeMessage.StoreUpdate update) {
			this.relays.record(update, now);
		}
	}

	/**
	 * Returns whether a node takes precedence over another one for a duty that one node
	 * performs for others. Such a duty takes processor time and bandwidth, of which small
	 * VMs have just enough for their callers, so nodes with a larger processor share take
	 * precedence; between equal ones, names decide.
	 * @param node a node, possibly this one
	 * @param other another node
	 * @return true if the first takes precedence over the other
	 */
	boolean takesPrecedence(String node, String other) {
		int comparison = Double.compare(processor(other), processor(node));
		return (comparison != 0) ? comparison < 0 : node.compareTo(other) < 0;
	}

	private double processor(String node) {
		if (node.equals(this.self.name())) {
			return this.self.processorCores();
		}
		NodeRecord known = this.nodes.get(node);
		return (known != null) ? known.processorCores() : 0;
	}

	/**
	 * Returns whether this node has to send its loads to its peers now.
	 * @param now the current time
	 * @return true if a message is due
	 */
	boolean isLoadSendDue(Instant now) {
		boolean minimumElapsed = !now.isBefore(this.loadsSentAt.plus(MINIMUM_LOAD_INTERVAL));
		return minimumElapsed && !now.isBefore(this.loadsSentAt.plus(loadInterval()));
	}

	private Duration loadInterval() {
		if (isSmallCluster()) {
			return MINIMUM_LOAD_INTERVAL;
		}
		int local = localAddresses().size();
		double messages = local + (double) (this.nodes.size() - local) / SENDS_PER_REMOTE_SEND;
		long millis = (long) (messages * 1000 / MAXIMUM_LOAD_MESSAGES_PER_SECOND);
		return Duration.ofMillis(Math.max(millis, MINIMUM_LOAD_INTERVAL.toMillis()));
	}

	boolean isSmallCluster() {
		return this.nodes.size() <= MAXIMUM_PEERS_OF_SMALL_CLUSTER;
	}

	/**
	 * Returns the addresses of the other nodes of the local data centre.
	 * @return their addresses
	 */
	List<Address> localAddresses() {
		return localPeers().map(NodeRecord::address).toList();
	}

	private Stream<NodeRecord> localPeers() {
		return this.nodes.values().stream().filter((node) -> node.dataCentre().equals(this.localDataCentre));
	}

	/**
	 * Returns the names of all other nodes.
	 * @return their names
	 */
	List<String> names() {
		return List.copyOf(this.nodes.keySet());
	}

	/**
	 * Returns the names of the other nodes of the local data centre.
	 * @return their names
	 */
	List<String> localNames() {
		return localPeers().map(NodeRecord::name).toList();
	}

	/**
	 * Sends the loads to the peers in the local data centre, or to all peers in a small
	 * cluster and when those in other data centres are due.
	 * @param loads the loads
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void sendLoads(NodeMessage.Loads loads, Instant now, Effects effects) {
		this.loadsSentAt = now;
		this.loadSendCount++;
		if (isSmallCluster() || this.loadSendCount % SENDS_PER_REMOTE_SEND == 0) {
			sendToAll(loads, effects);
		}
		else {
			effects.add(new EntryEffect.Send(localAddresses(), loads));
		}
	}

	/**
	 * Returns the number of live nodes, including this one. Nodes are live if their
	 * messages arrive; for a data centre whose aggregator reports a count, that count
	 * applies.
	 * @param now the current time
	 * @return the number of nodes
	 */
	int countLiveNodes(Instant now) {
		Instant since = now.minus(livenessTimeout());
		Map<DataCentreName, Integer> live = new HashMap<>();
		live.put(this.localDataCentre, 1);
		for (NodeRecord node : this.nodes.values()) {
			if (receivedAfter(node.name(), since)) {
				live.merge(node.dataCentre(), 1, Integer::sum);
			}
		}
		this.nodeCounts.forEach((dataCentre, count) -> {
			if (now.isBefore(count.receivedAt().plus(MINIMUM_LIVENESS_TIMEOUT))) {
				live.put(dataCentre, count.nodes());
			}
		});
		return live.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns the peers that share the rate limit of one target. In a small cluster,
	 * where each node receives messages from every other one, these are the live peers.
	 * In a large cluster, they are all peers, because those that send their messages to
	 * other nodes would seem to have failed.
	 * @param now the current time
	 * @return the nodes
	 */
	List<NodeRecord> sharingNodes(Instant now) {
		Instant since = now.minus(livenessTimeout());
		return this.nodes.values()
			.stream()
			.filter((node) -> !isSmallCluster() || receivedAfter(node.name(), since))
			.toList();
	}

	/**
	 * Returns whether no node reaches the store, according to the messages received: at
	 * least half of the nodes, including this one, have reported so recently, and none
	 * has reported that it reaches the store. Nodes that are partitioned together receive
	 * fewer reports.
	 * @param now the current time
	 * @return true if the store is unreachable for all nodes
	 */
	boolean isStoreUnreachableForAll(Instant now) {
		return this.storeReports.isUnreachableForAll(countKnownNodes(), now);
	}

	/**
	 * Returns the number of registered nodes, including this one.
	 * @return the number of nodes
	 */
	int countKnownNodes() {
		return 1 + this.nodes.size();
	}

	private boolean receivedAfter(String node, Instant since) {
		Instant last = this.lastReceived.get(node);
		return last != null && since.isBefore(last);
	}

	// In a large cluster, nodes rarely send to other data centres. If nodes weren't
	// counted for this reason, the others would use too large a share of the retry
	// budget.
	private Duration livenessTimeout() {
		Duration proportional = loadInterval()
			.multipliedBy((long) SENDS_PER_REMOTE_SEND * (MAXIMUM_MISSED_MESSAGES + 1));
		return (!isSmallCluster() && proportional.compareTo(MINIMUM_LIVENESS_TIMEOUT) > 0) ? proportional
				: MINIMUM_LIVENESS_TIMEOUT;
	}

	/**
	 * Sends a message to the peers in the local data centre.
	 * @param message the message
	 * @param effects receives the resulting effects
	 */
	void sendToLocalPeers(NodeMessage message, Effects effects) {
		List<Address> addresses = localAddresses();
		if (!addresses.isEmpty()) {
			effects.add(new EntryEffect.Send(addresses, message));
		}
	}

	/**
	 * Sends a message to one or two nodes of each other data centre, which relay it
	 * there. A node that has just begun to read may have received messages from none of
	 * them.
	 * @param message the message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void sendToRelays(NodeMessage message, Instant now, Effects effects) {
		List<Address> addresses = relayAddresses(now);
		if (!addresses.isEmpty()) {
			effects.add(new EntryEffect.Send(addresses, message));
		}
	}

	/**
	 * Returns the addresses of the nodes of other data centres that relay messages there.
	 * @param now the current time
	 * @return their addresses
	 */
	List<Address> relayAddresses(Instant now) {
		Instant since = now.minus(livenessTimeout());
		List<NodeRecord> remote = this.nodes.values()
			.stream()
			.filter((node) -> !node.dataCentre().equals(this.localDataCentre))
			.toList();
		return this.relays.select(remote, since, (node, other) -> preferredRelay(node, other, since))
			.stream()
			.map((node) -> this.nodes.get(node).address())
			.toList();
	}

	private String preferredRelay(String node, String other, Instant since) {
		boolean live = receivedAfter(node, since);
		if (live != receivedAfter(other, since)) {
			return live ? node : other;
		}
		return takesPrecedence(node, other) ? node : other;
	}

	void sendToAll(NodeMessage message, Effects effects) {
		effects.add(new EntryEffect.Send(this.nodes.values().stream().map(NodeRecord::address).toList(), message));
	}

	/**
	 * Returns the address of a node.
	 * @param node the node's name
	 * @return its address, if it is known
	 */
	Optional<Address> address(String node) {
		return Optional.ofNullable(this.nodes.get(node)).map(NodeRecord::address);
	}

	boolean isNodeHost(String host) {
		return this.nodes.values().stream().anyMatch((node) -> node.address().host().equals(host));
	}

	/**
	 * Sends a message to one node, if it is known.
	 * @param node the node's name
	 * @param message the message
	 * @param effects receives the resulting effects
	 */
	void sendTo(String node, NodeMessage message, Effects effects) {
		address(node).ifPresent((known) -> effects.add(new EntryEffect.Send(List.of(known), message)));
	}

	/**
	 * Holds the number of live nodes of a data centre, as counted by one of them.
	 *
	 * @param nodes the number of nodes
	 * @param receivedAt when the message was received
	 */
	private record NodeCount(int nodes, Instant receivedAt) {
	}

}
