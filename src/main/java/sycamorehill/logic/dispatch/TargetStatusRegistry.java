package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;

/**
 * Holds the known status of all targets.
 */
final class TargetStatusRegistry {

	private final Map<TargetName, TargetStatus> statuses = new HashMap<>();

	/** Minimum time for which a load report of another node is valid. */
	private static final Duration MINIMUM_VALIDITY = Duration.ofMillis(900);

	/**
	 * Number of report intervals for which a load report is valid: two reports may be
	 * lost. Many nodes report less often than few.
	 */
	private static final int VALIDITY_INTERVALS = 3;

	/** Maximum time for which a load report is valid; an answer takes 1 to 2 s. */
	private static final Duration MAXIMUM_VALIDITY = Duration.ofSeconds(4);

	private final Map<String, LoadReport> reports = new HashMap<>();

	private final Map<DataCentreName, Instant> sumsValidUntil = new HashMap<>();

	/**
	 * Prefix of the sender of data centres' sums, which are kept among the reports of
	 * nodes. No node name starts with it.
	 */
	private static final String SUM_SENDER_PREFIX = "sum of ";

	private TargetStatusRegistry() {
	}

	static TargetStatusRegistry create() {
		return new TargetStatusRegistry();
	}

	/**
	 * Returns the status of a target, which is created if nothing is known of the target.
	 * @param target the target
	 * @return its status
	 */
	TargetStatus getOrCreate(TargetName target) {
		return this.statuses.computeIfAbsent(target, (name) -> new TargetStatus());
	}

	/**
	 * Finds the status of a target.
	 * @param target the target
	 * @return its status; empty if nothing is known of the target
	 */
	Optional<TargetStatus> find(TargetName target) {
		return Optional.ofNullable(this.statuses.get(target));
	}

	/**
	 * Returns the known statuses.
	 * @return the statuses by target
	 */
	Map<TargetName, TargetStatus> byTarget() {
		return this.statuses;
	}

	int requests(TargetName target, Instant now) {
		TargetStatus status = this.statuses.get(target);
		return (status != null) ? status.requests(now) : 0;
	}

	Duration restLeft(TargetName target, Instant now) {
		TargetStatus status = this.statuses.get(target);
		return (status != null) ? status.restLeft(now) : Duration.ZERO;
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
	 * Handles the load report of another node. Targets that the report omits have no
	 * requests of that node. The report is ignored while a valid sum of the node's data
	 * centre is known, because the sum includes it.
	 * @param loads the requests of the other node
	 * @param now the current time
	 */
	void handleReport(NodeMessage.Loads loads, Instant now) {
		Instant sumsEnd = this.sumsValidUntil.get(loads.dataCentre());
		if (sumsEnd == null || sumsEnd.isBefore(now)) {
			applyReport(loads.sender(), loads.dataCentre(), loads.requests(), now);
		}
	}

	/**
	 * Handles the sum of the requests of all other nodes of a data centre, which replaces
	 * their single reports.
	 * @param sum the requests
	 * @param now the current time
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
	 * Handles the placement of a request by another node.
	 * @param placed the request
	 * @param now the current time
	 */
	void handleReport(NodeMessage.RequestPlaced placed, Instant now) {
		TargetStatus status = getOrCreate(placed.target());
		status.addPeerRequest(placed.sender(), now.plus(MINIMUM_VALIDITY));
		status.addPrefill(placed.prefillTime(), now);
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
		if (status == null) {
			return;
		}
		status.endRest();
		if (status.inFlight() == 0) {
			this.statuses.remove(target);
		}
	}

	/**
	 * The last report of a node, or the last sum of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param targets the targets that have requests
	 * @param receivedAt when the report was received
	 */
	private record LoadReport(DataCentreName dataCentre, Set<TargetName> targets, Instant receivedAt) {
	}

}
