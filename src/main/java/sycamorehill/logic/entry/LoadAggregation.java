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
import sycamorehill.model.serving.UseReport;

/**
 * Exchanges loads in a large cluster. In each data centre, the node that distributes
 * store updates is the aggregator: it adds up the loads of all nodes there, and sends
 * each of them the sum of the others. A node then receives a few messages per second
 * instead of dozens, each of which wakes it up.
 */
final class LoadAggregation {

	/** A load report is out of date after about half the duration of an answer. */
	private static final Duration MINIMUM_SEND_INTERVAL = Duration.ofMillis(500);

	/** Maximum number of messages that the aggregator receives per second. */
	private static final int MAXIMUM_MESSAGES_PER_SECOND = 100;

	/**
	 * Validity of received loads in send intervals: two messages of a node may be lost.
	 */
	private static final int VALID_SEND_INTERVALS = 3;

	/** Minimum validity of received loads: a slow VM may send late. */
	private static final Duration MINIMUM_VALIDITY = Duration.ofMillis(1000);

	/**
	 * Number of local sends per send to other data centres: each data centre has its own
	 * targets, which its nodes prefer.
	 */
	private static final int SENDS_PER_REMOTE_SEND = 2;

	/** Number of workspaces that a data centre's sum names for each model. */
	private static final int MAXIMUM_WORKSPACES_IN_SUM = 24;

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
	 * Records the loads of one node.
	 * @param loads the node's message
	 * @param now the current time
	 */
	void handleMessage(NodeMessage.Loads loads, Instant now) {
		if (loads.dataCentre().equals(this.localDataCentre)) {
			this.localLoads.put(loads.sender(), new ReceivedLoads(loads.requests(), loads.use(), now));
		}
	}

	/**
	 * Records the sums of other data centres, if the message comes from this node's
	 * aggregator, or if this node is the aggregator and relays them. A node that reads
	 * the store for itself for a moment also adds up loads, but receives none.
	 * @param added the message with the sums
	 * @param stopping whether this node is stopping
	 * @param now the current time
	 * @return true if the sums are valid for this node
	 */
	boolean handleMessage(NodeMessage.SummedLoads added, boolean stopping, Instant now) {
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

	// In a small cluster, nodes send their loads to each other directly. Without store
	// updates, no node knows the aggregator, and all nodes send directly again.
	private Optional<String> aggregator(boolean stopping, Instant now) {
		return this.peers.isSmallCluster() ? Optional.empty()
				: this.relay.distributor(now).filter((node) -> !stopping || !node.equals(this.self));
	}

	/**
	 * Returns whether this node has to send its loads now.
	 * @param stopping whether this node is stopping
	 * @param now the current time
	 * @return true if a message is due
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
	 * Sends this node's loads.
	 * @param loads this node's loads
	 * @param stopping whether this node is stopping
	 * @param now the current time
	 * @param effects receives the resulting effects
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
		UseReport use = sumOfUse(loads);
		for (String node : this.peers.localNames()) {
			List<LoadSum> sums = new ArrayList<>(this.remoteSums.values());
			sums.add(createSum(withoutLoadsOf(all, node), withoutUseOf(use, node)));
			this.peers.sendTo(node, new NodeMessage.SummedLoads(this.self, sums), effects);
		}
		this.remoteSums.clear();
		if (this.sendCount % SENDS_PER_REMOTE_SEND == 0) {
			this.peers.sendToRelays(new NodeMessage.SummedLoads(this.self, List.of(createSum(all, use))), now, effects);
		}
	}

	private LoadSum createSum(Map<TargetName, Integer> requests, UseReport use) {
		return new LoadSum(this.self, this.localDataCentre, this.localLoads.size() + 1, requests,
				use.bounded(MAXIMUM_WORKSPACES_IN_SUM));
	}

	private UseReport sumOfUse(NodeMessage.Loads loads) {
		List<UseReport> uses = new ArrayList<>(this.localLoads.values().stream().map(ReceivedLoads::use).toList());
		uses.add(loads.use());
		return UseReport.sum(uses);
	}

	private UseReport withoutUseOf(UseReport use, String node) {
		return Optional.ofNullable(this.localLoads.get(node)).map((received) -> use.minus(received.use())).orElse(use);
	}

	// A node adds its own current requests itself.
	private Map<TargetName, Integer> withoutLoadsOf(Map<TargetName, Integer> all, String node) {
		Map<TargetName, Integer> others = new HashMap<>(all);
		Optional.ofNullable(this.localLoads.get(node))
			.ifPresent((received) -> received.requests()
				.forEach((target, count) -> others.computeIfPresent(target,
						(name, sum) -> (sum > count) ? sum - count : null)));
		return others;
	}

	/**
	 * Holds the last loads received from a node of the local data centre.
	 *
	 * @param requests its number of requests by target
	 * @param use its recent use by workspace
	 * @param receivedAt when they were received
	 */
	private record ReceivedLoads(Map<TargetName, Integer> requests, UseReport use, Instant receivedAt) {
	}

}
