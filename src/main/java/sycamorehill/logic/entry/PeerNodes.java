package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
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
 * The other entry nodes: where they are, and which of them were heard lately.
 */
final class PeerNodes {

	/** A node that was not heard for so long is not counted: few nodes tell 25 times. */
	private static final Duration MINIMUM_LIVENESS_TIMEOUT = Duration.ofSeconds(5);

	/** Messages of a node that may be lost in a row before it is not counted. */
	private static final int MAXIMUM_MISSED_MESSAGES = 2;

	/**
	 * What a node told of the store is good for so long: few nodes tell it five times a
	 * second, many tell half of the others within it.
	 */
	private static final Duration STORE_STATUS_VALIDITY = Duration.ofMillis(1500);

	/** A load report is out of date after about as long as an event takes. */
	private static final Duration MINIMUM_LOAD_INTERVAL = Duration.ofMillis(200);

	/**
	 * Messages about loads that a node takes in a second, at most: small VMs have little
	 * processor time and bandwidth beside their callers'.
	 */
	private static final int MAXIMUM_LOAD_MESSAGES_PER_SECOND = 60;

	/** Other nodes that may all be told at the shortest pause. */
	private static final int MAXIMUM_PEERS_OF_SMALL_CLUSTER = 12;

	/**
	 * Nodes of other data centres are told once in so many times: each data centre has
	 * targets of its own, which its nodes prefer.
	 */
	private static final int SENDS_PER_REMOTE_SEND = 5;

	private final NodeRecord self;

	private final DataCentreName localDataCentre;

	private Instant loadsSentAt = Instant.MIN;

	private int loadSendCount;

	private final Map<String, NodeRecord> nodes = new HashMap<>();

	private final Map<String, Instant> lastReceived = new HashMap<>();

	private final Map<String, StoreStatus> storeStatuses = new HashMap<>();

	private final Map<DataCentreName, Relay> relays = new HashMap<>();

	private final Map<DataCentreName, NodeCount> nodeCounts = new HashMap<>();

	private PeerNodes(NodeRecord self) {
		this.self = self;
		this.localDataCentre = self.dataCentre();
	}

	static PeerNodes of(NodeRecord self) {
		return new PeerNodes(self);
	}

	/**
	 * Takes all nodes that the store shows. A node that is missing there stays while it
	 * is heard: the list may be older than its start.
	 * @param listed the nodes
	 * @param now the present time
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
		this.storeStatuses.remove(node);
	}

	void handleMessage(NodeMessage message, Instant now) {
		this.lastReceived.put(message.sender(), now);
		if (message instanceof NodeMessage.Loads loads) {
			this.storeStatuses.put(message.sender(), new StoreStatus(loads.storeReachable(), now));
		}
		else if (message instanceof NodeMessage.LoadsAdded added) {
			for (LoadSum sum : added.sums()) {
				this.lastReceived.put(sum.aggregator(), now);
				this.nodeCounts.put(sum.dataCentre(), new NodeCount(sum.liveNodes(), now));
			}
		}
		else if (message instanceof NodeMessage.Introduction introduction) {
			add(introduction.node(), now);
		}
		else if (message instanceof NodeMessage.StoreNews news) {
			this.relays.put(news.dataCentre(), new Relay(news.sender(), now));
		}
	}

	/**
	 * Whether a duty that one node has for others is rather a node's than another's. It
	 * takes processor time and bandwidth, of which small VMs have just enough for their
	 * callers; among equals names decide.
	 * @param node a node, maybe this one
	 * @param other another node
	 * @return true if the first goes before the other
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
	 * Whether the loads are to be told.
	 * @param now the present time
	 * @return true if it is time
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
	 * Where the other nodes of the own data centre take messages.
	 * @return their addresses
	 */
	List<Address> localAddresses() {
		return localPeers().map(NodeRecord::address).toList();
	}

	private Stream<NodeRecord> localPeers() {
		return this.nodes.values().stream().filter((node) -> node.dataCentre().equals(this.localDataCentre));
	}

	/**
	 * The other nodes of the own data centre.
	 * @return their names
	 */
	List<String> localNames() {
		return localPeers().map(NodeRecord::name).toList();
	}

	/**
	 * Tells the loads to the nodes whose turn it is.
	 * @param loads the loads
	 * @param now the present time
	 * @param effects collects what is wanted
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
	 * Counts the nodes that live, this one with them: those that are heard, and for a
	 * data centre whose nodes are counted by one of them, those that it counts.
	 * @param now the present time
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
	 * The other nodes that share what one target takes. Of few nodes, each of which is
	 * heard, those that live; many nodes would be taken for gone because they tell
	 * others.
	 * @param now the present time
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
	 * Whether no node reaches the store, as far as is heard: at least half of the nodes
	 * have said so lately, and none has said that it does. Nodes that are cut off
	 * together hear fewer.
	 * @param now the present time
	 * @return true if the store is away for all
	 */
	boolean isStoreUnreachableForAll(Instant now) {
		Instant since = now.minus(STORE_STATUS_VALIDITY);
		List<StoreStatus> recent = this.storeStatuses.values()
			.stream()
			.filter((status) -> status.receivedAt().isAfter(since))
			.toList();
		return recent.stream().noneMatch(StoreStatus::reached) && 2 * (recent.size() + 1) >= countKnownNodes();
	}

	/**
	 * Counts the nodes that are entered, this one with them.
	 * @return the number of nodes
	 */
	int countKnownNodes() {
		return 1 + this.nodes.size();
	}

	private boolean receivedAfter(String node, Instant since) {
		Instant last = this.lastReceived.get(node);
		return last != null && since.isBefore(last);
	}

	// Many nodes tell those of other data centres rarely. Nodes that are not counted
	// would leave the others too large a part of the retry budget.
	private Duration livenessTimeout() {
		Duration proportional = loadInterval()
			.multipliedBy((long) SENDS_PER_REMOTE_SEND * (MAXIMUM_MISSED_MESSAGES + 1));
		return (!isSmallCluster() && proportional.compareTo(MINIMUM_LIVENESS_TIMEOUT) > 0) ? proportional
				: MINIMUM_LIVENESS_TIMEOUT;
	}

	/**
	 * Tells the nodes of the own data centre.
	 * @param message what to tell
	 * @param effects collects what is wanted
	 */
	void sendToLocalPeers(NodeMessage message, Effects effects) {
		List<Address> addresses = localAddresses();
		if (!addresses.isEmpty()) {
			effects.add(new EntryEffect.Send(addresses, message));
		}
	}

	/**
	 * Tells one or two nodes of each other data centre, which pass it on there: of those
	 * that were heard lately the one that goes before the others, and the one that told
	 * last what it reads, which takes its place if it has failed. A node that has just
	 * begun to read may have heard none of them.
	 * @param message what to tell
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void sendToRelays(NodeMessage message, Instant now, Effects effects) {
		List<Address> relays = relayAddresses(now);
		if (!relays.isEmpty()) {
			effects.add(new EntryEffect.Send(relays, message));
		}
	}

	/**
	 * Where the nodes of other data centres take messages that pass on there what they
	 * are told.
	 * @param now the present time
	 * @return their addresses
	 */
	List<Address> relayAddresses(Instant now) {
		Instant since = now.minus(livenessTimeout());
		Set<String> recipients = new TreeSet<>();
		Map<DataCentreName, String> preferred = new HashMap<>();
		for (NodeRecord node : this.nodes.values()) {
			if (!node.dataCentre().equals(this.localDataCentre)) {
				preferred.merge(node.dataCentre(), node.name(), (one, two) -> preferredRelay(one, two, since));
			}
		}
		recipients.addAll(preferred.values());
		preferred.keySet()
			.stream()
			.flatMap((dataCentre) -> Optional.ofNullable(this.relays.get(dataCentre)).stream())
			.filter((relay) -> since.isBefore(relay.receivedAt().plus(MINIMUM_LIVENESS_TIMEOUT)))
			.map(Relay::node)
			.filter(this.nodes::containsKey)
			.forEach(recipients::add);
		return recipients.stream().map((node) -> this.nodes.get(node).address()).toList();
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
	 * Tells one node.
	 * @param node the node's name
	 * @param message what to tell
	 * @param effects collects what is wanted
	 */
	void sendTo(String node, NodeMessage message, Effects effects) {
		Optional.ofNullable(this.nodes.get(node))
			.ifPresent((known) -> effects.add(new EntryEffect.Send(List.of(known.address()), message)));
	}

	/**
	 * What another node told of the store.
	 *
	 * @param reached whether it reaches the store
	 * @param receivedAt when it was heard
	 */
	private record StoreStatus(boolean reached, Instant receivedAt) {
	}

	/**
	 * A node that told what it reads for its data centre. It counts until the one that it
	 * stands for is known to be gone.
	 *
	 * @param node its name
	 * @param receivedAt when it was heard
	 */
	private record Relay(String node, Instant receivedAt) {
	}

	/**
	 * How many nodes of a data centre live, as one of them counts.
	 *
	 * @param nodes their number
	 * @param receivedAt when it was heard
	 */
	private record NodeCount(int nodes, Instant receivedAt) {
	}

}
