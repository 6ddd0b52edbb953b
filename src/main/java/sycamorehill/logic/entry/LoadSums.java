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
final class LoadSums {

	/** A load report is out of date after about as long as an answer's first half. */
	private static final Duration TOLD_EVERY = Duration.ofMillis(500);

	/** Messages a second that the node which adds up takes, at most. */
	private static final int TAKEN_A_SECOND = 100;

	/** Two messages of a node may be lost before it is not counted. */
	private static final int MESSAGES_VALID = 3;

	/** What a node told is good for this long at least: a weak VM may be late. */
	private static final Duration LEAST_VALID = Duration.ofMillis(1000);

	/**
	 * Other data centres are told once in so many times: each has targets of its own,
	 * which its nodes prefer.
	 */
	private static final int FAR_TOLD_ONCE_IN = 2;

	private final String self;

	private final DataCentreName own;

	private final Neighbours neighbours;

	private final StoreRelay relay;

	private final Map<String, Heard> near = new HashMap<>();

	private final Map<DataCentreName, LoadSum> far = new HashMap<>();

	private Instant toldAt = Instant.MIN;

	private int timesTold;

	private LoadSums(NodeRecord self, Neighbours neighbours, StoreRelay relay) {
		this.self = self.name();
		this.own = self.dataCentre();
		this.neighbours = neighbours;
		this.relay = relay;
	}

	static LoadSums of(NodeRecord self, Neighbours neighbours, StoreRelay relay) {
		return new LoadSums(self, neighbours, relay);
	}

	/**
	 * Takes the loads of one node.
	 * @param loads what it told
	 * @param now the present time
	 */
	void heard(NodeMessage.Loads loads, Instant now) {
		if (loads.dataCentre().equals(this.own)) {
			this.near.put(loads.sender(), new Heard(loads.requests(), now));
		}
	}

	/**
	 * Takes sums, if they come from the node that adds up for this one, or of another
	 * data centre to be passed on. A node that reads the store for itself for a moment
	 * adds up as well, but hears nobody.
	 * @param told what was told
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @return true if the sums count
	 */
	boolean heard(NodeMessage.LoadsAdded told, boolean stopping, Instant now) {
		Optional<String> collector = collector(stopping, now);
		boolean ofOwn = told.sums().stream().anyMatch((sum) -> sum.dataCentre().equals(this.own));
		String needed = ofOwn ? told.sender() : this.self;
		if (collector.filter(needed::equals).isEmpty()) {
			return false;
		}
		told.sums()
			.stream()
			.filter((sum) -> !sum.dataCentre().equals(this.own))
			.forEach((sum) -> this.far.put(sum.dataCentre(), sum));
		return true;
	}

	// Few nodes tell each other at once. Without news of the store nobody knows who adds
	// up, and each node tells the others again.
	private Optional<String> collector(boolean stopping, Instant now) {
		return this.neighbours.fewNodes() ? Optional.empty()
				: this.relay.teller(now).filter((node) -> !stopping || !node.equals(this.self));
	}

	/**
	 * Whether the loads are to be told.
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @return true if it is time
	 */
	boolean due(boolean stopping, Instant now) {
		if (collector(stopping, now).isEmpty()) {
			return this.neighbours.loadsDue(now);
		}
		boolean possible = !now.isBefore(this.toldAt.plus(TOLD_EVERY));
		return possible && !now.isBefore(this.toldAt.plus(pause()));
	}

	private Duration pause() {
		Duration many = Duration.ofMillis(this.neighbours.near().size() * 1000L / TAKEN_A_SECOND);
		return (many.compareTo(TOLD_EVERY) > 0) ? many : TOLD_EVERY;
	}

	private Duration valid() {
		Duration several = pause().multipliedBy(MESSAGES_VALID);
		return (several.compareTo(LEAST_VALID) > 0) ? several : LEAST_VALID;
	}

	/**
	 * Tells this node's loads.
	 * @param loads this node's loads
	 * @param stopping whether this node ends
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tell(NodeMessage.Loads loads, boolean stopping, Instant now, Effects effects) {
		collector(stopping, now).ifPresentOrElse((node) -> tellCollector(node, loads, now, effects),
				() -> this.neighbours.tellLoads(loads, now, effects));
	}

	private void tellCollector(String collector, NodeMessage.Loads loads, Instant now, Effects effects) {
		this.toldAt = now;
		if (collector.equals(this.self)) {
			tellSums(loads, now, effects);
		}
		else {
			this.near.clear();
			this.far.clear();
			this.neighbours.tell(collector, loads, effects);
		}
	}

	private void tellSums(NodeMessage.Loads loads, Instant now, Effects effects) {
		this.timesTold++;
		Instant since = now.minus(valid());
		this.near.values().removeIf((heard) -> heard.at().isBefore(since));
		Map<TargetName, Integer> all = new HashMap<>(loads.requests());
		this.near.values()
			.forEach((heard) -> heard.requests().forEach((target, number) -> all.merge(target, number, Integer::sum)));
		for (String node : this.neighbours.nearNodes()) {
			List<LoadSum> sums = new ArrayList<>(this.far.values());
			sums.add(sum(without(all, node)));
			this.neighbours.tell(node, new NodeMessage.LoadsAdded(this.self, sums), effects);
		}
		this.far.clear();
		if (this.timesTold % FAR_TOLD_ONCE_IN == 0) {
			this.neighbours.tellRelays(new NodeMessage.LoadsAdded(this.self, List.of(sum(all))), now, effects);
		}
	}

	private LoadSum sum(Map<TargetName, Integer> requests) {
		return new LoadSum(this.self, this.own, this.near.size() + 1, requests);
	}

	// A node counts its own requests as they are at present.
	private Map<TargetName, Integer> without(Map<TargetName, Integer> all, String node) {
		Map<TargetName, Integer> others = new HashMap<>(all);
		Optional.ofNullable(this.near.get(node))
			.ifPresent((heard) -> heard.requests()
				.forEach((target, number) -> others.computeIfPresent(target,
						(name, sum) -> (sum > number) ? sum - number : null)));
		return others;
	}

	/**
	 * What a node of the own data centre told last.
	 *
	 * @param requests its requests by target
	 * @param at when it was heard
	 */
	private record Heard(Map<TargetName, Integer> requests, Instant at) {
	}

}
