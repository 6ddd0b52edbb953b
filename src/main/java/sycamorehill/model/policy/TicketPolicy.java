package sycamorehill.model.policy;

import java.time.Duration;

/**
 * Timings and limits of the filing and distribution of tickets.
 *
 * @param callTimeout time after which the result of a platform call is unknown
 * @param watchWait maximum time for which the platform may hold a watch
 * @param shortestWatch minimum time between two watches, for a platform that does not
 * hold them
 * @param longestUnsynchronised maximum time between two reads of the log by a delegate
 * @param firstBackoff delay after the first failed platform call
 * @param longestBackoff maximum delay between failed platform calls
 * @param filingPatience time after which the operator receives the answer that the
 * outcome is unknown
 * @param filingAttempts maximum number of create calls for one filing
 * @param historyTickets number of tickets that a node keeps for readers and for its peers
 * @param keptTickets number of tickets before the snapshot that stay in the platform
 * @param snapshotEvery number of tickets after the snapshot at which it is renewed
 * @param keptFilings number of identifiers of accepted filings that are kept
 * @param pageSize number of tickets in a page of a list or in a peer message
 * @param forcePatience maximum time that the answer about a ticket's rollout waits for
 * other data centres
 */
public record TicketPolicy(Duration callTimeout, Duration watchWait, Duration shortestWatch,
		Duration longestUnsynchronised, Duration firstBackoff, Duration longestBackoff, Duration filingPatience,
		int filingAttempts, int historyTickets, int keptTickets, int snapshotEvery, int keptFilings, int pageSize,
		Duration forcePatience) {

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static TicketPolicy standard() {
		return new TicketPolicy(Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofMillis(500),
				Duration.ofMinutes(5), Duration.ofMillis(250), Duration.ofSeconds(15), Duration.ofSeconds(15), 20, 400,
				400, 40, 2000, 100, Duration.ofSeconds(2));
	}

}
