package sycamorehill.logic.ticket;

import java.time.Instant;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.TicketDraft;

/**
 * A ticket submitted by an operator (a filing) that waits for its outcome.
 *
 * @param call the operator call that waits for the outcome
 * @param draft the submitted ticket
 * @param mark identifies the writer of the ticket object on the platform
 * @param number the ticket number of the last create call, 0 before the first
 * @param doubtful whether the create call for {@code number} may have taken effect or may
 * still do so. Such a filing must not be answered as refused
 * @param attempts the number of create calls so far
 * @param until the time at which the filing is answered at the latest
 * @param synchronisation the number of the first synchronisation that starts after the
 * last change of the filing. Its result decides how the filing continues
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
