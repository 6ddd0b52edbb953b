package sycamorehill.logic.ticket;

import java.util.List;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.policy.TicketPolicy;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.Ticket;

/**
 * Takes tickets and truths into the log, wherever they come from, and tells the others.
 */
final class Folding {

	private Folding() {
	}

	static void append(TicketTurn turn, List<Ticket> tickets, TicketSource source) {
		TicketPolicy policy = turn.policy();
		long before = turn.log().number();
		for (Ticket ticket : tickets) {
			turn.set(turn.log().append(ticket, policy.historyTickets(), policy.keptFilings()));
		}
		if (turn.log().number() > before) {
			turn.log(LogEvent.TICKETS_IN_FORCE, "ticket " + turn.log().number());
			SpreadSteps.advanced(turn, before, source);
		}
	}

	static void adopt(TicketTurn turn, DesiredStateSnapshot snapshot) {
		long before = turn.log().number();
		turn.set(turn.log().adopt(snapshot, turn.policy().keptFilings()));
		if (turn.log().number() > before) {
			turn.log(LogEvent.TRUTH_ADOPTED, "ticket " + turn.log().number());
		}
	}

}
