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
 * Maintains the set of live nodes from heartbeats and from the announcements on the
 * platform.
 */
public final class MembershipReducer implements Reducer<MembershipState> {

	private static final double CALLS_PER_SECOND = 2;

	private static final double CALL_BURST = 6;

	private MembershipReducer() {
	}

	/**
	 * Creates a reducer.
	 * @return the reducer
	 */
	public static MembershipReducer create() {
		return new MembershipReducer();
	}

	@Override
	public Step<MembershipState> reduce(MembershipState state, Instant now, Event event, NodeView view) {
		MembershipStep step = MembershipStep.of(state, now, view);
		if (event instanceof NodeEvent.Started started) {
			handleStart(step, started.seed());
		}
		else if (event instanceof NodeEvent.Ticked ticked) {
			step.set(step.state().withWallClock(ticked.wallClock()));
			handleTick(step);
		}
		else if (event instanceof NodeEvent.StopRequested) {
			step.set(step.state().withStopping());
			Heartbeats.sendAll(step);
			Liveness.recomputeLiveNodes(step);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			handleMessage(step, received);
		}
		else if (event instanceof OperatorEvent.TicketForceAsked asked) {
			RolloutQueryHandler.handleOperatorQuery(step, asked);
		}
		else if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.MEMBERSHIP) {
			MembershipCall purpose = step.closeCall(answered.call().number());
			if (purpose != null) {
				PeerDiscovery.handleAnswer(step, purpose, answered.answer());
			}
		}
		return step.end();
	}

	private static void handleStart(MembershipStep step, long seed) {
		MembershipPolicy policy = step.policy();
		CallBudget budget = CallBudget.create(CALLS_PER_SECOND, CALL_BURST, policy.firstBackoff(),
				policy.longestBackoff(), seed + 1);
		step.set(step.state().withIntroduction(step.state().introduction().withBudget(budget)));
		for (NodeContact contact : policy.contacts()) {
			if (!contact.node().equals(step.self().incarnation().node())) {
				step.set(step.observations().withContact(contact.identityOfUnknownIncarnation()));
			}
		}
		Liveness.recomputeLiveNodes(step);
		PeerDiscovery.handleTick(step);
	}

	private static void handleTick(MembershipStep step) {
		PeerDiscovery.handleTick(step);
		Liveness.handleTick(step);
		RolloutQueryHandler.handleTick(step);
		boolean advanced = step.ticketNumber() != step.state().timers().toldNumber();
		if (advanced || !step.now().isBefore(step.state().timers().nextHeartbeat())) {
			Heartbeats.sendAll(step);
		}
	}

	private static void handleMessage(MembershipStep step, PeerEvent.MessageReceived received) {
		PeerMessage message = received.message();
		if (message instanceof Heartbeat heartbeat) {
			MembershipMessageHandler.handleHeartbeat(step, received.from(), heartbeat);
		}
		else if (message instanceof MembersAsked asked) {
			MembershipMessageHandler.handleMembersAsked(step, received.from(), asked);
		}
		else if (message instanceof MembersSent sent) {
			MembershipMessageHandler.handleMembersSent(step, received.from(), sent);
		}
		else if (message instanceof MembersChanged changed) {
			MembershipMessageHandler.handleMembersChanged(step, changed);
		}
		else if (message instanceof ForceAsked asked) {
			RolloutQueryHandler.handlePeerQuery(step, received.from(), asked);
		}
		else if (message instanceof ForceSent sent) {
			RolloutQueryHandler.handleAnswer(step, sent);
		}
	}

}
