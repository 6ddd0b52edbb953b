package sycamorehill.logic.ticket;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.membership.Delegates;
import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.peer.TicketsAsked;
import sycamorehill.model.peer.TicketsSent;
import sycamorehill.model.peer.TruthSent;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.policy.TicketPolicy;

/**
 * Filing, folding and spreading of tickets.
 */
public final class TicketReducer implements Reducer<TicketState> {

	private static final double CALLS_PER_SECOND = 20;

	private static final double CALL_BURST = 40;

	private TicketReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static TicketReducer create() {
		return new TicketReducer();
	}

	@Override
	public Step<TicketState> reduce(TicketState state, Instant now, Event event, NodeView view) {
		TicketTurn turn = TicketTurn.of(state, now, view);
		if (event instanceof NodeEvent.Started started) {
			started(turn, started.seed());
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			ticked(turn, ticked.wallClock());
		}
		else if (event instanceof OperatorEvent.TicketFiled filed) {
			FilingSteps.filed(turn, filed);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			received(turn, received);
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.TICKETS) {
			answered(turn, answered);
		}
		return turn.end();
	}

	private static void started(TicketTurn turn, long seed) {
		TicketPolicy policy = turn.policy();
		CallBudget budget = CallBudget.create(CALLS_PER_SECOND, CALL_BURST, policy.firstBackoff(),
				policy.longestBackoff(), seed);
		turn.set(Synchronisation.initial(budget));
		SynchronisationSteps.begin(turn);
	}

	private static void ticked(TicketTurn turn, Instant wallClock) {
		turn.set(turn.state().withWallClock(wallClock));
		FilingSteps.ticked(turn);
		boolean repairing = turn.sync().behind()
				&& turn.sync().lastSuccess().plus(turn.policy().longestBackoff()).isBefore(turn.now());
		if ((turn.sync().wanted() || repairing) && !turn.sync().running()) {
			SynchronisationSteps.begin(turn);
		}
		if (Delegates.isDelegate(turn.view())) {
			SynchronisationSteps.watch(turn);
			CompactionSteps.ticked(turn);
		}
	}

	private static void received(TicketTurn turn, PeerEvent.MessageReceived received) {
		PeerMessage message = received.message();
		if (message instanceof Heartbeat heartbeat) {
			SpreadSteps.heard(turn, received.from(), heartbeat);
		}
		else if (message instanceof TicketsAsked asked) {
			SpreadSteps.asked(turn, received.from(), asked);
		}
		else if (message instanceof TicketsSent sent) {
			Folding.append(turn, sent.tickets(), SpreadSteps.source(turn, received.from()));
		}
		else if (message instanceof TruthSent sent) {
			Folding.adopt(turn, sent.snapshot());
		}
	}

	private static void answered(TicketTurn turn, PlatformEvent.Answered answered) {
		TicketCall purpose = turn.close(answered.call().number());
		if (purpose == null) {
			return;
		}
		PlatformAnswer answer = answered.answer();
		switch (purpose) {
			case READ_SNAPSHOT -> SynchronisationSteps.snapshotRead(turn, answer);
			case LIST_TICKETS -> SynchronisationSteps.listed(turn, answer);
			case WATCH_TICKETS -> SynchronisationSteps.watched(turn, answer);
			case CREATE_TICKET -> FilingSteps.created(turn, answer);
			case READ_OLD_SNAPSHOT -> CompactionSteps.oldSnapshotRead(turn, answer);
			case WRITE_SNAPSHOT -> CompactionSteps.snapshotWritten(turn, answer);
			case LIST_OLD_TICKETS -> CompactionSteps.oldTicketsListed(turn, answer);
			case DELETE_TICKET -> CompactionSteps.ticketDeleted(turn, answer);
		}
	}

}
