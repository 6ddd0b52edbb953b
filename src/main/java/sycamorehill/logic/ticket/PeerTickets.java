package sycamorehill.logic.ticket;

import java.time.Duration;
import java.time.Instant;

/**
 * The ticket numbers that peers have reported.
 *
 * @param highest the highest ticket number that a peer has reported, -1 for none
 * @param heardAt the time of the latest report of {@code highest}. Reports expire,
 * because otherwise the report of a permanently lost node would block every filing
 * @param askedAt the time at which this node last requested tickets from a peer
 */
public record PeerTickets(long highest, Instant heardAt, Instant askedAt) {

	private static final Duration REPORT_VALIDITY = Duration.ofSeconds(30);

	private static final Duration REQUEST_INTERVAL = Duration.ofMillis(200);

	static PeerTickets none() {
		return new PeerTickets(-1, Instant.MIN, Instant.MIN);
	}

	PeerTickets recordReport(long number, Instant now) {
		return (number >= this.highest || !isReportValid(now)) ? new PeerTickets(number, now, this.askedAt) : this;
	}

	PeerTickets recordRequest(Instant now) {
		return new PeerTickets(this.highest, this.heardAt, now);
	}

	boolean isAheadOf(long number, Instant now) {
		return this.highest > number && isReportValid(now);
	}

	boolean mayRequest(Instant now) {
		return this.askedAt.equals(Instant.MIN) || !now.isBefore(this.askedAt.plus(REQUEST_INTERVAL));
	}

	private boolean isReportValid(Instant now) {
		return !this.heardAt.equals(Instant.MIN) && now.isBefore(this.heardAt.plus(REPORT_VALIDITY));
	}

}
