package sycamorehill.logic.membership;

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
import sycamorehill.model.membership.NodeContact;
import sycamorehill.model.peer.ForceAsked;
import sycamorehill.model.peer.ForceSent;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.peer.MembersAsked;
import sycamorehill.model.peer.MembersChanged;
import sycamorehill.model.peer.MembersSent;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.policy.MembershipPolicy;

/**
 * Which nodes of ours are alive.
 */
public final class MembershipReducer implements Reducer<MembershipState> {

	private static final double CALLS_PER_SECOND = 2;

	private static final double CALL_BURST = 6;

	private MembershipReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static MembershipReducer create() {
		return new MembershipReducer();
	}

	@Override
	public Step<MembershipState> reduce(MembershipState state, Instant now, Event event, NodeView view) {
		MembershipTurn turn = MembershipTurn.of(state, now, view);
		if (event instanceof NodeEvent.Started started) {
			started(turn, started.seed());
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			turn.set(turn.state().withWallClock(ticked.wallClock()));
			ticked(turn);
		}
		else if (event instanceof NodeEvent.StopRequested) {
			turn.set(turn.state().stop());
			Heartbeats.beat(turn);
			Liveness.refresh(turn);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			received(turn, received);
		}
		else if (event instanceof OperatorEvent.TicketForceAsked asked) {
			ForceSteps.asked(turn, asked);
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.MEMBERSHIP) {
			MembershipCall purpose = turn.close(answered.call().number());
			if (purpose != null) {
				Introduction.answered(turn, purpose, answered.answer());
			}
		}
		return turn.end();
	}

	private static void started(MembershipTurn turn, long seed) {
		MembershipPolicy policy = turn.policy();
		CallBudget budget = CallBudget.create(CALLS_PER_SECOND, CALL_BURST, policy.firstBackoff(),
				policy.longestBackoff(), seed + 1);
		turn.set(turn.state().withIntroduction(turn.state().introduction().withBudget(budget)));
		for (NodeContact contact : policy.contacts()) {
			if (!contact.node().equals(turn.self().incarnation().node())) {
				turn.set(turn.sightings().withContact(contact.identityOfUnknownIncarnation()));
			}
		}
		Liveness.refresh(turn);
		Introduction.ticked(turn);
	}

	private static void ticked(MembershipTurn turn) {
		Introduction.ticked(turn);
		Liveness.ticked(turn);
		ForceSteps.ticked(turn);
		boolean advanced = turn.ticketNumber() != turn.state().timers().toldNumber();
		if (advanced || !turn.now().isBefore(turn.state().timers().nextHeartbeat())) {
			Heartbeats.beat(turn);
		}
	}

	private static void received(MembershipTurn turn, PeerEvent.MessageReceived received) {
		PeerMessage message = received.message();
		if (message instanceof Heartbeat heartbeat) {
			Hearing.heartbeat(turn, received.from(), heartbeat);
		}
		else if (message instanceof MembersAsked asked) {
			Hearing.asked(turn, received.from(), asked);
		}
		else if (message instanceof MembersSent sent) {
			Hearing.sent(turn, received.from(), sent);
		}
		else if (message instanceof MembersChanged changed) {
			Hearing.changed(turn, changed);
		}
		else if (message instanceof ForceAsked asked) {
			ForceSteps.questionReceived(turn, received.from(), asked);
		}
		else if (message instanceof ForceSent sent) {
			ForceSteps.answerReceived(turn, sent);
		}
	}

}
