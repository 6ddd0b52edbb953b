package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.serving.NodeMessage;

/**
 * Holds what other nodes last reported on whether they reach the store.
 */
final class StoreReports {

	/**
	 * How long a node's report on the store is valid: in a small cluster, nodes report it
	 * five times a second; in a large one, they report it to half of the others within
	 * this time.
	 */
	private static final Duration STORE_STATUS_VALIDITY = Duration.ofMillis(1500);

	private final Map<String, Report> reports = new HashMap<>();

	private StoreReports() {
	}

	static StoreReports create() {
		return new StoreReports();
	}

	void record(NodeMessage.Loads loads, Instant now) {
		this.reports.put(loads.sender(), new Report(loads.storeReachable(), now));
	}

	void remove(String node) {
		this.reports.remove(node);
	}

	/**
	 * Returns whether no node reaches the store: at least half of the nodes, including
	 * this one, have reported recently, and none of them reaches it.
	 * @param knownNodes number of known nodes, including this one
	 * @param now the current time
	 * @return true if the store is unreachable for all nodes
	 */
	boolean isUnreachableForAll(int knownNodes, Instant now) {
		Instant since = now.minus(STORE_STATUS_VALIDITY);
		List<Report> recent = this.reports.values()
			.stream()
			.filter((report) -> report.receivedAt().isAfter(since))
			.toList();
		return recent.stream().noneMatch(Report::reached) && 2 * (recent.size() + 1) >= knownNodes;
	}

	/**
	 * Holds another node's last report on the store.
	 *
	 * @param reached whether the node reaches the store
	 * @param receivedAt when the message was received
	 */
	private record Report(boolean reached, Instant receivedAt) {
	}

}
