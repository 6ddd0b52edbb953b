package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.UseReport;

/**
 * Holds the use by workspace that other nodes have reported: of single nodes, or the sums
 * of data centres, which replace the reports of their nodes while they are valid.
 */
final class ReportedUse {

	/** Number of report intervals for which a report is valid: two may be lost. */
	private static final int VALIDITY_INTERVALS = 3;

	private static final Duration MINIMUM_VALIDITY = Duration.ofSeconds(2);

	/** Nodes of other data centres report every 4 to 12 s if there are many. */
	private static final Duration MAXIMUM_VALIDITY = Duration.ofSeconds(12);

	private final Map<String, Report> byNode = new HashMap<>();

	private final Map<DataCentreName, Report> byDataCentre = new HashMap<>();

	private ReportedUse() {
	}

	static ReportedUse create() {
		return new ReportedUse();
	}

	void handleReport(NodeMessage.Loads loads, Instant now) {
		Report sum = this.byDataCentre.get(loads.dataCentre());
		if (sum == null || !sum.isValid(now)) {
			this.byNode.merge(loads.sender(), Report.first(loads.dataCentre(), loads.use(), now),
					(previous, received) -> previous.next(received.use(), now));
		}
	}

	void handleReport(LoadSum sum, Instant now) {
		this.byNode.values().removeIf((report) -> report.dataCentre().equals(sum.dataCentre()));
		this.byDataCentre.merge(sum.dataCentre(), Report.first(sum.dataCentre(), sum.use(), now),
				(previous, received) -> previous.next(received.use(), now));
	}

	/**
	 * Returns the valid reports, and forgets the others.
	 * @param now the current time
	 * @return the reports
	 */
	List<UseReport> valid(Instant now) {
		this.byNode.values().removeIf((report) -> !report.isValid(now));
		this.byDataCentre.values().removeIf((report) -> !report.isValid(now));
		List<UseReport> valid = new ArrayList<>();
		this.byNode.values().forEach((report) -> valid.add(report.use()));
		this.byDataCentre.values().forEach((report) -> valid.add(report.use()));
		return valid;
	}

	/**
	 * The last report of a node, or the last sum of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param use the use
	 * @param receivedAt when the report was received
	 * @param validity how long it is valid
	 */
	private record Report(DataCentreName dataCentre, UseReport use, Instant receivedAt, Duration validity) {

		static Report first(DataCentreName dataCentre, UseReport use, Instant now) {
			return new Report(dataCentre, use, now, MINIMUM_VALIDITY);
		}

		Report next(UseReport received, Instant now) {
			Duration intervals = Duration.between(this.receivedAt, now).multipliedBy(VALIDITY_INTERVALS);
			Duration bounded = (intervals.compareTo(MAXIMUM_VALIDITY) < 0) ? intervals : MAXIMUM_VALIDITY;
			return new Report(this.dataCentre, received, now,
					(bounded.compareTo(MINIMUM_VALIDITY) > 0) ? bounded : MINIMUM_VALIDITY);
		}

		boolean isValid(Instant now) {
			return !this.receivedAt.plus(this.validity).isBefore(now);
		}

	}

}
