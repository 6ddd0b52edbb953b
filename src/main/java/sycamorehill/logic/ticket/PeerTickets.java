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

	private static final Duration VALID_FOR = Duration.ofSeconds(30);

	private static final Duration ASK_INTERVAL = Duration.ofMillis(200);

	static PeerTickets none() {
		return new PeerTickets(-1, Instant.MIN, Instant.MIN);
	}

	PeerTickets heard(long number, Instant now) {
		return (number >= this.highest || !valid(now)) ? new PeerTickets(number, now, this.askedAt) : this;
	}

	PeerTickets asked(Instant now) {
		return new PeerTickets(this.highest, this.heardAt, now);
	}

	boolean ahead(long number, Instant now) {
		return this.highest > number && valid(now);
	}

	boolean mayAsk(Instant now) {
		return this.askedAt.equals(Instant.MIN) || !now.isBefore(this.askedAt.plus(ASK_INTERVAL));
	}

	private boolean valid(Instant now) {
		return !this.heardAt.equals(Instant.MIN) && now.isBefore(this.heardAt.plus(VALID_FOR));
	}

}
