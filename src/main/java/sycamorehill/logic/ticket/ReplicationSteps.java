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
 * Replicates tickets between nodes. A delegate pushes new tickets to all nodes of its
 * data centre. Any other node pushes tickets that it read from the platform to the
 * delegates of its data centre. A node that receives a heartbeat with a higher ticket
 * number than its own requests the missing tickets. The next heartbeat therefore
 * compensates for a lost push, also in a data centre that cannot reach the platform.
 */
final class ReplicationSteps {

	private ReplicationSteps() {
	}

	/**
	 * Pushes newly applied tickets to the nodes that need them from this node.
	 * @param step the current step
	 * @param before the number of the last ticket applied before them
	 * @param source the source of the tickets
	 */
	static void pushTickets(TicketStep step, long before, TicketSource source) {
		boolean delegate = step.view().isDelegate();
		if (source == TicketSource.OWN_DELEGATE || (!delegate && source != TicketSource.PLATFORM)) {
			return;
		}
		List<Ticket> tickets = (before >= 0) ? step.log().ticketsAfter(before, step.policy().pageSize()) : List.of();
		if (tickets.isEmpty()) {
			return;
		}
		TicketsSent message = new TicketsSent(tickets);
		for (LiveNode node : recipients(step, delegate)) {
			step.send(node.identity(), message);
		}
	}

	static void handleHeartbeat(TicketStep step, NodeIdentity from, Heartbeat heartbeat) {
		if (heartbeat.ticketNumber() <= step.log().number()) {
			return;
		}
		PeerTickets peers = step.state().peers().recordReport(heartbeat.ticketNumber(), step.now());
		if (peers.mayRequest(step.now())) {
			peers = peers.recordRequest(step.now());
			step.send(from, new TicketsAsked(step.log().number()));
		}
		step.set(step.state().withPeers(peers));
	}

	static void handleRequest(TicketStep step, NodeIdentity from, TicketsAsked request) {
		if (step.log().number() <= request.after()) {
			return;
		}
		List<Ticket> tickets = (request.after() >= 0)
				? step.log().ticketsAfter(request.after(), step.policy().pageSize()) : List.of();
		if (tickets.isEmpty()) {
			step.send(from, new TruthSent(step.log().snapshot(0)));
		}
		else {
			step.send(from, new TicketsSent(tickets));
		}
	}

	static boolean isPeerAhead(TicketStep step) {
		return step.state().peers().isAheadOf(step.log().number(), step.now());
	}

	static TicketSource sourceOf(TicketStep step, NodeIdentity from) {
		DataCentreName own = step.view().self().dataCentre();
		boolean delegate = from.dataCentre().equals(own)
				&& Delegates.in(step.view(), own).stream().anyMatch((node) -> node.identity().equals(from));
		return delegate ? TicketSource.OWN_DELEGATE : TicketSource.OTHER_NODE;
	}

	private static List<LiveNode> recipients(TicketStep step, boolean delegate) {
		NodeIdentity self = step.view().self();
		List<LiveNode> nodes = delegate ? step.view().liveNodes().in(self.dataCentre())
				: Delegates.in(step.view(), self.dataCentre());
		return nodes.stream().filter((node) -> !node.identity().equals(self)).toList();
	}

}
