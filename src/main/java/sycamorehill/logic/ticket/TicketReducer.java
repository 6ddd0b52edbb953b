package sycamorehill.logic.ticket;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
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
 * Handles the events of tickets: their submission by operators (filing), their
 * application to the desired state, and their replication between nodes.
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
		TicketStep step = TicketStep.of(state, now, view);
		if (event instanceof NodeEvent.Started started) {
			handleStart(step, started.seed());
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			handleTick(step, ticked.wallClock());
		}
		else if (event instanceof OperatorEvent.TicketFiled filed) {
			FilingSteps.handleFiling(step, filed);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			handleMessage(step, received);
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.TICKETS) {
			handleAnswer(step, answered);
		}
		return step.finish();
	}

	private static void handleStart(TicketStep step, long seed) {
		TicketPolicy policy = step.policy();
		CallBudget budget = CallBudget.create(CALLS_PER_SECOND, CALL_BURST, policy.firstBackoff(),
				policy.longestBackoff(), seed);
		step.set(Synchronisation.initial(budget));
		SynchronisationSteps.start(step);
	}

	private static void handleTick(TicketStep step, Instant wallClock) {
		step.set(step.state().withWallClock(wallClock));
		FilingSteps.expireFilings(step);
		boolean repairing = step.sync().behind()
				&& step.sync().lastSuccess().plus(step.policy().longestBackoff()).isBefore(step.now());
		if ((step.sync().wanted() || repairing) && !step.sync().running()) {
			SynchronisationSteps.start(step);
		}
		if (step.view().isDelegate()) {
			SynchronisationSteps.startWatch(step);
			CompactionSteps.handleTick(step);
		}
	}

	private static void handleMessage(TicketStep step, PeerEvent.MessageReceived received) {
		PeerMessage message = received.message();
		if (message instanceof Heartbeat heartbeat) {
			ReplicationSteps.handleHeartbeat(step, received.from(), heartbeat);
		}
		else if (message instanceof TicketsAsked asked) {
			ReplicationSteps.handleRequest(step, received.from(), asked);
		}
		else if (message instanceof TicketsSent sent) {
			TicketLogUpdater.append(step, sent.tickets(), ReplicationSteps.sourceOf(step, received.from()));
		}
		else if (message instanceof TruthSent sent) {
			TicketLogUpdater.adopt(step, sent.snapshot());
		}
	}

	private static void handleAnswer(TicketStep step, PlatformEvent.Answered answered) {
		TicketCallPurpose purpose = step.closeCall(answered.call().number());
		if (purpose == null) {
			return;
		}
		PlatformAnswer answer = answered.answer();
		switch (purpose) {
			case READ_SNAPSHOT -> SynchronisationSteps.handleSnapshot(step, answer);
			case LIST_TICKETS -> SynchronisationSteps.handleTickets(step, answer);
			case WATCH_TICKETS -> SynchronisationSteps.handleWatchAnswer(step, answer);
			case CREATE_TICKET -> FilingSteps.handleCreateAnswer(step, answer);
			case READ_OLD_SNAPSHOT -> CompactionSteps.handleOldSnapshot(step, answer);
			case WRITE_SNAPSHOT -> CompactionSteps.handleSnapshotWritten(step, answer);
			case LIST_OLD_TICKETS -> CompactionSteps.handleOldTickets(step, answer);
			case DELETE_TICKET -> CompactionSteps.handleTicketDeleted(step, answer);
		}
	}

}
