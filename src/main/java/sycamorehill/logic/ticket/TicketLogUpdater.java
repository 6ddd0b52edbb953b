package sycamorehill.logic.ticket;

import java.util.List;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.policy.TicketPolicy;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.Ticket;

/**
 * Applies tickets and snapshots to the log, whatever their source, and forwards newly
 * applied tickets to peers.
 */
final class TicketLogUpdater {

	private TicketLogUpdater() {
	}

	static void append(TicketStep step, List<Ticket> tickets, TicketSource source) {
		TicketPolicy policy = step.policy();
		long before = step.log().number();
		for (Ticket ticket : tickets) {
			step.set(step.log().append(ticket, policy.historyTickets(), policy.keptFilings()));
		}
		if (step.log().number() > before) {
			step.log(LogEvent.TICKETS_IN_FORCE, "ticket " + step.log().number());
			ReplicationSteps.pushTickets(step, before, source);
		}
	}

	static void adopt(TicketStep step, DesiredStateSnapshot snapshot) {
		long before = step.log().number();
		step.set(step.log().adopt(snapshot, step.policy().keptFilings()));
		if (step.log().number() > before) {
			step.log(LogEvent.TRUTH_ADOPTED, "ticket " + step.log().number());
		}
	}

}
