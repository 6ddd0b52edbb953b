package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;

/**
 * What this node knows of the loads of all targets.
 */
final class TargetLoads {

	private final Map<TargetName, TargetLoad> loads = new HashMap<>();

	/** What another node told is good for this long at least. */
	private static final Duration LEAST_VALID = Duration.ofMillis(900);

	/**
	 * What another node told is good for so many times the pause between its messages:
	 * two of them may be lost. Many nodes tell each other more rarely than few.
	 */
	private static final int MESSAGES_VALID = 3;

	/** Longer than this nothing is good: an answer takes 1 to 2 s. */
	private static final Duration LONGEST_VALID = Duration.ofSeconds(4);

	private final Map<String, Told> told = new HashMap<>();

	private final Map<DataCentreName, Instant> addedUntil = new HashMap<>();

	/** Sums of data centres stand among what nodes told; no node is named so. */
	private static final String SUM_OF = "sum of ";

	private TargetLoads() {
	}

	static TargetLoads create() {
		return new TargetLoads();
	}

	/**
	 * The load of a target, which is begun if nothing was known of it.
	 * @param target the target
	 * @return its load
	 */
	TargetLoad of(TargetName target) {
		return this.loads.computeIfAbsent(target, (name) -> new TargetLoad());
	}

	/**
	 * The loads that are known.
	 * @return the loads by target
	 */
	Map<TargetName, TargetLoad> known() {
		return this.loads;
	}

	int requests(TargetName target, Instant now) {
		TargetLoad load = this.loads.get(target);
		return (load != null) ? load.requests(now) : 0;
	}

	Map<TargetName, Integer> inFlight() {
		Map<TargetName, Integer> requests = new HashMap<>();
		this.loads.forEach((target, load) -> {
			if (load.inFlight() > 0) {
				requests.put(target, load.inFlight());
			}
		});
		return requests;
	}

	/**
	 * Takes what another node told; targets that it names no more have no requests of it.
	 * While the sum of its data centre is known, that counts them already.
	 * @param loads the requests of the other node
	 * @param now the present time
	 */
	void heard(NodeMessage.Loads loads, Instant now) {
		Instant added = this.addedUntil.get(loads.dataCentre());
		if (added == null || added.isBefore(now)) {
			take(loads.sender(), loads.dataCentre(), loads.requests(), now);
		}
	}

	/**
	 * Takes the requests of all other nodes of a data centre, in place of what each of
	 * them told.
	 * @param sum the requests
	 * @param now the present time
	 */
	void heard(LoadSum sum, Instant now) {
		String sender = SUM_OF + sum.dataCentre();
		for (String node : List.copyOf(this.told.keySet())) {
			Told before = this.told.get(node);
			if (!node.equals(sender) && before.dataCentre().equals(sum.dataCentre())) {
				this.told.remove(node);
				before.targets().forEach((target) -> of(target).others(node, 0, now));
			}
		}
		this.addedUntil.put(sum.dataCentre(), take(sender, sum.dataCentre(), sum.requests(), now));
	}

	private Instant take(String sender, DataCentreName dataCentre, Map<TargetName, Integer> requests, Instant now) {
		Told before = this.told.put(sender, new Told(dataCentre, requests.keySet(), now));
		Instant validUntil = now.plus((before != null) ? validity(before.at(), now) : LEAST_VALID);
		if (before != null) {
			before.targets()
				.stream()
				.filter((target) -> !requests.containsKey(target))
				.forEach((target) -> of(target).others(sender, 0, validUntil));
		}
		requests.forEach((target, number) -> of(target).others(sender, number, validUntil));
		return validUntil;
	}

	/**
	 * Takes what another node has just placed.
	 * @param placed the request
	 * @param now the present time
	 */
	void heard(NodeMessage.Placed placed, Instant now) {
		TargetLoad load = of(placed.target());
		load.placedBy(placed.sender(), now.plus(LEAST_VALID));
		load.reads(placed.reading(), now);
	}

	private static Duration validity(Instant before, Instant now) {
		Duration pauses = Duration.between(before, now).multipliedBy(MESSAGES_VALID);
		if (pauses.compareTo(LEAST_VALID) < 0) {
			return LEAST_VALID;
		}
		return (pauses.compareTo(LONGEST_VALID) > 0) ? LONGEST_VALID : pauses;
	}

	void forget(TargetName target) {
		TargetLoad load = this.loads.get(target);
		if (load != null && load.inFlight() == 0) {
			this.loads.remove(target);
		}
	}

	/**
	 * What was told of a node's requests, or of those of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param targets the targets that have any
	 * @param at when it was heard
	 */
	private record Told(DataCentreName dataCentre, Set<TargetName> targets, Instant at) {
	}

}
