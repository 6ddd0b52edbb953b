package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * Collects reports of silent targets at the node that controls the groups, and confirms a
 * silence that two nodes report.
 *
 * In a large cluster, each node has few streams with a target, or none. A node that has
 * none would keep sending it requests, which wait there in vain, and would resume streams
 * there that another node has just moved away. The report of one node is not enough: the
 * link between it and the target may be broken while all others are served.
 */
final class SilenceReports {

	/** Reports of two nodes within this time concern the same silence. */
	private static final Duration CONFIRMATION_WINDOW = Duration.ofSeconds(1);

	/** A confirmed silence is not confirmed again for this long. */
	private static final Duration REPEAT_SUPPRESSION_TIME = Duration.ofSeconds(2);

	private final Map<TargetName, Report> reports = new HashMap<>();

	private final Map<TargetName, Instant> confirmedAt = new HashMap<>();

	/**
	 * Records a report.
	 * @param node the node that found the target silent
	 * @param target the target
	 * @param now the current time
	 * @return the node that reported the silence first, if this report confirms it and
	 * all nodes must be informed
	 */
	Optional<String> recordReport(String node, TargetName target, Instant now) {
		this.confirmedAt.values().removeIf((at) -> now.isAfter(at.plus(REPEAT_SUPPRESSION_TIME)));
		this.reports.values().removeIf((report) -> now.isAfter(report.receivedAt().plus(CONFIRMATION_WINDOW)));
		if (this.confirmedAt.containsKey(target)) {
			return Optional.empty();
		}
		Report first = this.reports.putIfAbsent(target, new Report(node, now));
		if (first == null || first.node().equals(node)) {
			return Optional.empty();
		}
		this.reports.remove(target);
		this.confirmedAt.put(target, now);
		return Optional.of(first.node());
	}

	/**
	 * Holds the first report of a silence.
	 *
	 * @param node the node that found the target silent
	 * @param receivedAt when the report was received
	 */
	private record Report(String node, Instant receivedAt) {
	}

}
