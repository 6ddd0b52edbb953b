package sycamorehill.logic.ticket;

import java.time.Instant;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.TicketDraft;

/**
 * A filing that waits for its outcome.
 *
 * @param call the waiting operator
 * @param draft what is filed
 * @param mark identifies this writer in the ticket's object
 * @param number the number of the last create, 0 before the first
 * @param doubtful whether the create under {@code number} may have taken effect or may
 * still do so: then the filing must not be called refused
 * @param attempts creates so far
 * @param until when the filer has waited long enough
 * @param synchronisation the first synchronisation that begins after the filing's last
 * change: its result decides
 */
public record Filing(OperatorCallIdentifier call, TicketDraft draft, String mark, long number, boolean doubtful,
		int attempts, Instant until, long synchronisation) {

	static Filing of(OperatorCallIdentifier call, TicketDraft draft, String mark, Instant until,
			long synchronisationsBegun) {
		return new Filing(call, draft, mark, 0, false, 0, until, synchronisationsBegun + 1);
	}

	Filing startCreate(long ticketNumber) {
		return new Filing(this.call, this.draft, this.mark, ticketNumber, true, this.attempts + 1, this.until,
				Long.MAX_VALUE);
	}

	Filing withoutDoubt() {
		return new Filing(this.call, this.draft, this.mark, this.number, false, this.attempts, this.until,
				this.synchronisation);
	}

	Filing awaitSynchronisationAfter(long synchronisationsBegun) {
		return new Filing(this.call, this.draft, this.mark, this.number, this.doubtful, this.attempts, this.until,
				synchronisationsBegun + 1);
	}

}
