package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Bounds of ticket filing and spreading.
 *
 * @param callTimeout after it the answer of a platform call is not known
 * @param watchWait how long the platform may hold a watch
 * @param shortestWatch the least time between two watches, for a platform that does not
 * hold them
 * @param longestUnsynchronised a delegate reads the log at least this often
 * @param firstBackoff the wait after the first failed platform call
 * @param longestBackoff the longest wait between failed platform calls
 * @param filingPatience after it the filer hears that the outcome is not known
 * @param filingAttempts the most creates for one filing
 * @param historyTickets how many tickets a node keeps for readers and for its peers
 * @param keptTickets how many tickets stay in the platform behind the snapshot
 * @param snapshotEvery how many tickets may follow the snapshot before it is renewed
 * @param keptFilings how many accepted filing identifiers are kept
 * @param pageSize tickets in one page of a list or one peer message
 * @param forcePatience how long an answer on where a ticket is in force waits for other
 * data centres
 */
public record TicketPolicy(Duration callTimeout, Duration watchWait, Duration shortestWatch,
		Duration longestUnsynchronised, Duration firstBackoff, Duration longestBackoff, Duration filingPatience,
		int filingAttempts, int historyTickets, int keptTickets, int snapshotEvery, int keptFilings, int pageSize,
		Duration forcePatience) {

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static TicketPolicy standard() {
		return new TicketPolicy(Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofMillis(500),
				Duration.ofMinutes(5), Duration.ofMillis(250), Duration.ofSeconds(15), Duration.ofSeconds(15), 20, 400,
				400, 40, 2000, 100, Duration.ofSeconds(2));
	}

}
