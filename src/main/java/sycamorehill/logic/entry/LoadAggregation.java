package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

/**
 * Tells loads among many nodes: the node that passes on the store's news to a data centre
 * adds up the loads of all nodes there, and tells each of them the sum of the others. A
 * node then takes some messages a second and not some dozens, each of which wakes it.
 */
final class LoadAggregation {

	/** A load report is out of date after about as long as an answer's first half. */
	private static final Duration MINIMUM_SEND_INTERVAL = Duration.ofMillis(500);

	/** Messages a second that the node which adds up takes, at most. */
	private static final int MAXIMUM_MESSAGES_PER_SECOND = 100;

	/** Two messages of a node may be lost before it is not counted. */
	private static final int VALID_SEND_INTERVALS = 3;

	/** What a node told is good for this long at least: a weak VM may be late. */
	private static final Duration MINIMUM_VALIDITY = Duration.ofMillis(1000);

	/**
	 * Other data centres are told once in so many times: each has targets of its own,
	 * which its nodes prefer.
	 */
	private static final int SENDS_PER_REMOTE_SEND = 2;

	private final String self;

	private final DataCentreName localDataCentre;

	private final PeerNodes peers;

	private final StoreRelay relay;

	private final Map<String, ReceivedLoads> localLoads = new HashMap<>();

	private final Map<DataCentreName, LoadSum> remoteSums = new HashMap<>();

	private Instant sentAt = Instant.MIN;

	private int sendCount;

	private LoadAggregation(NodeRecord self, PeerNodes peers, StoreRelay relay) {
		this.self = self.name();
		this.localDataCentre = self.dataCentre();
		this.peers = peers;
		this.relay = relay;
	}

	static LoadAggregation of(NodeRecord self, PeerNodes peers, StoreRelay relay) {
		return new LoadAggregation(self, peers, relay);
	}

	/**
	 * Takes the loads of one node.
	 * @param loads what it told
	 * @param now the present time
	 */
	void handleMessage(NodeMessage.Loads loads, Instant now) {
		if (loads.dataCentre().equals(this.localDataCentre)) {
			this.localLoads.put(loads.sender(), new ReceivedLoads(loads.requests(), now));
		}
	}

	/**
	 * Takes sums, if they come from the node that adds up for this one, or of another
	 * data centre to be passed on. A node that reads the store for itself for a moment
	 * adds up as well, but hears nobody.
	 * @param added what was told
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @return true if the sums count
	 */
	boolean handleMessage(NodeMessage.LoadsAdded added, boolean stopping, Instant now) {
		Optional<String> aggregator = aggregator(stopping, now);
		boolean includesLocal = added.sums().stream().anyMatch((sum) -> sum.dataCentre().equals(this.localDataCentre));
		String requiredAggregator = includesLocal ? added.sender() : this.self;
		if (aggregator.filter(requiredAggregator::equals).isEmpty()) {
			return false;
		}
		added.sums()
			.stream()
			.filter((sum) -> !sum.dataCentre().equals(this.localDataCentre))
			.forEach((sum) -> this.remoteSums.put(sum.dataCentre(), sum));
		return true;
	}

	// Few nodes tell each other at once. Without news of the store nobody knows who adds
	// up, and each node tells the others again.
	private Optional<String> aggregator(boolean stopping, Instant now) {
		return this.peers.isSmallCluster() ? Optional.empty()
				: this.relay.distributor(now).filter((node) -> !stopping || !node.equals(this.self));
	}

	/**
	 * Whether the loads are to be told.
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @return true if it is time
	 */
	boolean isSendDue(boolean stopping, Instant now) {
		if (aggregator(stopping, now).isEmpty()) {
			return this.peers.isLoadSendDue(now);
		}
		boolean minimumElapsed = !now.isBefore(this.sentAt.plus(MINIMUM_SEND_INTERVAL));
		return minimumElapsed && !now.isBefore(this.sentAt.plus(sendInterval()));
	}

	private Duration sendInterval() {
		Duration proportional = Duration
			.ofMillis(this.peers.localAddresses().size() * 1000L / MAXIMUM_MESSAGES_PER_SECOND);
		return (proportional.compareTo(MINIMUM_SEND_INTERVAL) > 0) ? proportional : MINIMUM_SEND_INTERVAL;
	}

	private Duration validity() {
		Duration multiple = sendInterval().multipliedBy(VALID_SEND_INTERVALS);
		return (multiple.compareTo(MINIMUM_VALIDITY) > 0) ? multiple : MINIMUM_VALIDITY;
	}

	/**
	 * Tells this node's loads.
	 * @param loads this node's loads
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void send(NodeMessage.Loads loads, boolean stopping, Instant now, Effects effects) {
		aggregator(stopping, now).ifPresentOrElse((node) -> sendToAggregator(node, loads, now, effects),
				() -> this.peers.sendLoads(loads, now, effects));
	}

	private void sendToAggregator(String aggregator, NodeMessage.Loads loads, Instant now, Effects effects) {
		this.sentAt = now;
		if (aggregator.equals(this.self)) {
			sendSums(loads, now, effects);
		}
		else {
			this.localLoads.clear();
			this.remoteSums.clear();
			this.peers.sendTo(aggregator, loads, effects);
		}
	}

	private void sendSums(NodeMessage.Loads loads, Instant now, Effects effects) {
		this.sendCount++;
		Instant since = now.minus(validity());
		this.localLoads.values().removeIf((received) -> received.receivedAt().isBefore(since));
		Map<TargetName, Integer> all = new HashMap<>(loads.requests());
		this.localLoads.values()
			.forEach((received) -> received.requests()
				.forEach((target, count) -> all.merge(target, count, Integer::sum)));
		for (String node : this.peers.localNames()) {
			List<LoadSum> sums = new ArrayList<>(this.remoteSums.values());
			sums.add(createSum(withoutLoadsOf(all, node)));
			this.peers.sendTo(node, new NodeMessage.LoadsAdded(this.self, sums), effects);
		}
		this.remoteSums.clear();
		if (this.sendCount % SENDS_PER_REMOTE_SEND == 0) {
			this.peers.sendToRelays(new NodeMessage.LoadsAdded(this.self, List.of(createSum(all))), now, effects);
		}
	}

	private LoadSum createSum(Map<TargetName, Integer> requests) {
		return new LoadSum(this.self, this.localDataCentre, this.localLoads.size() + 1, requests);
	}

	// A node counts its own requests as they are at present.
	private Map<TargetName, Integer> withoutLoadsOf(Map<TargetName, Integer> all, String node) {
		Map<TargetName, Integer> others = new HashMap<>(all);
		Optional.ofNullable(this.localLoads.get(node))
			.ifPresent((received) -> received.requests()
				.forEach((target, count) -> others.computeIfPresent(target,
						(name, sum) -> (sum > count) ? sum - count : null)));
		return others;
	}

	/**
	 * What a node of the own data centre told last.
	 *
	 * @param requests its requests by target
	 * @param receivedAt when it was heard
	 */
	private record ReceivedLoads(Map<TargetName, Integer> requests, Instant receivedAt) {
	}

}
