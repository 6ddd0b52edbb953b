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
final class TargetStatusRegistry {

	private final Map<TargetName, TargetStatus> statuses = new HashMap<>();

	/** What another node told is good for this long at least. */
	private static final Duration MINIMUM_VALIDITY = Duration.ofMillis(900);

	/**
	 * What another node told is good for so many times the pause between its messages:
	 * two of them may be lost. Many nodes tell each other more rarely than few.
	 */
	private static final int VALIDITY_INTERVALS = 3;

	/** Longer than this nothing is good: an answer takes 1 to 2 s. */
	private static final Duration MAXIMUM_VALIDITY = Duration.ofSeconds(4);

	private final Map<String, LoadReport> reports = new HashMap<>();

	private final Map<DataCentreName, Instant> sumsValidUntil = new HashMap<>();

	/** Sums of data centres stand among what nodes told; no node is named so. */
	private static final String SUM_SENDER_PREFIX = "sum of ";

	private TargetStatusRegistry() {
	}

	static TargetStatusRegistry create() {
		return new TargetStatusRegistry();
	}

	/**
	 * The load of a target, which is begun if nothing was known of it.
	 * @param target the target
	 * @return its load
	 */
	TargetStatus getOrCreate(TargetName target) {
		return this.statuses.computeIfAbsent(target, (name) -> new TargetStatus());
	}

	/**
	 * The loads that are known.
	 * @return the loads by target
	 */
	Map<TargetName, TargetStatus> byTarget() {
		return this.statuses;
	}

	int requests(TargetName target, Instant now) {
		TargetStatus status = this.statuses.get(target);
		return (status != null) ? status.requests(now) : 0;
	}

	Map<TargetName, Integer> inFlightByTarget() {
		Map<TargetName, Integer> requests = new HashMap<>();
		this.statuses.forEach((target, status) -> {
			if (status.inFlight() > 0) {
				requests.put(target, status.inFlight());
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
	void handleReport(NodeMessage.Loads loads, Instant now) {
		Instant sumsEnd = this.sumsValidUntil.get(loads.dataCentre());
		if (sumsEnd == null || sumsEnd.isBefore(now)) {
			applyReport(loads.sender(), loads.dataCentre(), loads.requests(), now);
		}
	}

	/**
	 * Takes the requests of all other nodes of a data centre, in place of what each of
	 * them told.
	 * @param sum the requests
	 * @param now the present time
	 */
	void handleReport(LoadSum sum, Instant now) {
		String sender = SUM_SENDER_PREFIX + sum.dataCentre();
		for (String node : List.copyOf(this.reports.keySet())) {
			LoadReport previous = this.reports.get(node);
			if (!node.equals(sender) && previous.dataCentre().equals(sum.dataCentre())) {
				this.reports.remove(node);
				previous.targets().forEach((target) -> getOrCreate(target).setPeerRequests(node, 0, now));
			}
		}
		this.sumsValidUntil.put(sum.dataCentre(), applyReport(sender, sum.dataCentre(), sum.requests(), now));
	}

	private Instant applyReport(String sender, DataCentreName dataCentre, Map<TargetName, Integer> requests,
			Instant now) {
		LoadReport previous = this.reports.put(sender, new LoadReport(dataCentre, requests.keySet(), now));
		Instant validUntil = now.plus((previous != null) ? validity(previous.receivedAt(), now) : MINIMUM_VALIDITY);
		if (previous != null) {
			previous.targets()
				.stream()
				.filter((target) -> !requests.containsKey(target))
				.forEach((target) -> getOrCreate(target).setPeerRequests(sender, 0, validUntil));
		}
		requests.forEach((target, count) -> getOrCreate(target).setPeerRequests(sender, count, validUntil));
		return validUntil;
	}

	/**
	 * Takes what another node has just placed.
	 * @param placed the request
	 * @param now the present time
	 */
	void handleReport(NodeMessage.Placed placed, Instant now) {
		TargetStatus status = getOrCreate(placed.target());
		status.addPeerRequest(placed.sender(), now.plus(MINIMUM_VALIDITY));
		status.addPrefill(placed.reading(), now);
	}

	private static Duration validity(Instant previous, Instant now) {
		Duration validity = Duration.between(previous, now).multipliedBy(VALIDITY_INTERVALS);
		if (validity.compareTo(MINIMUM_VALIDITY) < 0) {
			return MINIMUM_VALIDITY;
		}
		return (validity.compareTo(MAXIMUM_VALIDITY) > 0) ? MAXIMUM_VALIDITY : validity;
	}

	void forget(TargetName target) {
		TargetStatus status = this.statuses.get(target);
		if (status != null && status.inFlight() == 0) {
			this.statuses.remove(target);
		}
	}

	/**
	 * What was told of a node's requests, or of those of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param targets the targets that have any
	 * @param receivedAt when it was heard
	 */
	private record LoadReport(DataCentreName dataCentre, Set<TargetName> targets, Instant receivedAt) {
	}

}
