package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.identity.TargetName;

/**
 * Which targets several nodes have found silent, at the node that controls the groups.
 *
 * Each of many nodes has few streams with a target, or none. One that has none would go
 * on giving it requests, which wait there in vain, and would resume streams there that
 * another node has just taken away. One node's word is not enough: the link between it
 * and the target may be cut while all others are served.
 */
final class SilenceReports {

	/** Reports of two nodes within this time are of the same silence. */
	private static final Duration CONFIRMATION_WINDOW = Duration.ofSeconds(1);

	/** A silence that was confirmed is not told again for so long. */
	private static final Duration REPEAT_SUPPRESSION_TIME = Duration.ofSeconds(2);

	private final Map<TargetName, Report> reports = new HashMap<>();

	private final Map<TargetName, Instant> confirmedAt = new HashMap<>();

	/**
	 * Takes a report.
	 * @param node the node that found the target silent
	 * @param target the target
	 * @param now the present time
	 * @return whether all nodes are to be told
	 */
	boolean recordReport(String node, TargetName target, Instant now) {
		this.confirmedAt.values().removeIf((at) -> now.isAfter(at.plus(REPEAT_SUPPRESSION_TIME)));
		this.reports.values().removeIf((report) -> now.isAfter(report.receivedAt().plus(CONFIRMATION_WINDOW)));
		if (this.confirmedAt.containsKey(target)) {
			return false;
		}
		Report first = this.reports.putIfAbsent(target, new Report(node, now));
		if (first == null || first.node().equals(node)) {
			return false;
		}
		this.reports.remove(target);
		this.confirmedAt.put(target, now);
		return true;
	}

	/**
	 * The first report of a silence.
	 *
	 * @param node who found it
	 * @param receivedAt when it was heard
	 */
	private record Report(String node, Instant receivedAt) {
	}

}
