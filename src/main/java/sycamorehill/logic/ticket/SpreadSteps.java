package sycamorehill.logic.ticket;

import java.util.List;

import sycamorehill.logic.membership.Delegates;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.peer.TicketsAsked;
import sycamorehill.model.peer.TicketsSent;
import sycamorehill.model.peer.TruthSent;
import sycamorehill.model.ticket.Ticket;

/**
 * Spreads tickets between nodes. A delegate pushes what it has learnt to all nodes of its
 * data centre; any other node gives what it learnt from the platform to its delegates. A
 * node that hears of a higher number than its own asks for what it lacks, so that a lost
 * push or a data centre without the platform is made good by the next heartbeat.
 */
final class SpreadSteps {

	private SpreadSteps() {
	}

	/**
	 * Tells the others that the truth has advanced.
	 * @param turn the step under way
	 * @param before the number before
	 * @param source where the tickets came from
	 */
	static void advanced(TicketTurn turn, long before, TicketSource source) {
		boolean delegate = Delegates.isDelegate(turn.view());
		if (source == TicketSource.OWN_DELEGATE || (!delegate && source != TicketSource.PLATFORM)) {
			return;
		}
		List<Ticket> tickets = (before >= 0) ? turn.log().after(before, turn.policy().pageSize()) : List.of();
		if (tickets.isEmpty()) {
			return;
		}
		TicketsSent message = new TicketsSent(tickets);
		for (LiveNode node : receivers(turn, delegate)) {
			turn.send(node.identity(), message);
		}
	}

	static void heard(TicketTurn turn, NodeIdentity from, Heartbeat heartbeat) {
		if (heartbeat.ticketNumber() <= turn.log().number()) {
			return;
		}
		PeerTickets peers = turn.state().peers().heard(heartbeat.ticketNumber(), turn.now());
		if (peers.mayAsk(turn.now())) {
			peers = peers.asked(turn.now());
			turn.send(from, new TicketsAsked(turn.log().number()));
		}
		turn.set(turn.state().withPeers(peers));
	}

	static void asked(TicketTurn turn, NodeIdentity from, TicketsAsked question) {
		if (turn.log().number() <= question.after()) {
			return;
		}
		List<Ticket> tickets = (question.after() >= 0) ? turn.log().after(question.after(), turn.policy().pageSize())
				: List.of();
		if (tickets.isEmpty()) {
			turn.send(from, new TruthSent(turn.log().snapshot(0)));
		}
		else {
			turn.send(from, new TicketsSent(tickets));
		}
	}

	static boolean peersAhead(TicketTurn turn) {
		return turn.state().peers().ahead(turn.log().number(), turn.now());
	}

	static TicketSource source(TicketTurn turn, NodeIdentity from) {
		DataCentreName own = turn.view().self().dataCentre();
		boolean delegate = from.dataCentre().equals(own)
				&& Delegates.in(turn.view(), own).stream().anyMatch((node) -> node.identity().equals(from));
		return delegate ? TicketSource.OWN_DELEGATE : TicketSource.OTHER_NODE;
	}

	private static List<LiveNode> receivers(TicketTurn turn, boolean delegate) {
		NodeIdentity self = turn.view().self();
		List<LiveNode> receivers = delegate ? turn.view().liveNodes().in(self.dataCentre())
				: Delegates.in(turn.view(), self.dataCentre());
		return receivers.stream().filter((node) -> !node.identity().equals(self)).toList();
	}

}
