package sycamorehill.logic.ticket;

import java.time.Duration;
import java.time.Instant;

/**
 * What the other nodes have told of their tickets.
 *
 * @param highest the highest ticket that a peer has told of
 * @param heardAt when it was last told of; it counts only for a while, or else the word
 * of a node that is gone for good would hold up every filing
 * @param askedAt when a peer was last asked for tickets
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
