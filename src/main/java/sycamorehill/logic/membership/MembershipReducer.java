package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PMap;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.policy.MembershipPolicy;
import sycamorehill.model.ticket.Truth;

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
			heard(turn, turn.self(), true);
			sendHeartbeats(turn);
		}
		else if (event instanceof PeerEvent.MessageReceived received
				&& received.message() instanceof Heartbeat heartbeat) {
			heard(turn, received.from(), heartbeat.stopping());
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
		turn.set(turn.state()
			.withBudget(CallBudget.create(CALLS_PER_SECOND, CALL_BURST, policy.firstBackoff(), policy.longestBackoff(),
					seed + 1)));
		heard(turn, turn.self(), false);
		Introduction.ticked(turn);
	}

	private static void ticked(MembershipTurn turn) {
		Introduction.ticked(turn);
		if (turn.now().isBefore(turn.state().nextHeartbeat())) {
			return;
		}
		turn.set(turn.state().withNextHeartbeat(turn.now().plus(turn.policy().shortestInterval())));
		heard(turn, turn.self(), turn.state().stopping());
		sendHeartbeats(turn);
		forget(turn);
	}

	private static void sendHeartbeats(MembershipTurn turn) {
		long number = turn.view().truth().map(Truth::number).orElse(-1L);
		Heartbeat heartbeat = new Heartbeat(turn.state().stopping(), number);
		for (NodeIdentity contact : turn.state().contacts().values()) {
			turn.send(contact, heartbeat);
		}
	}

	private static void heard(MembershipTurn turn, NodeIdentity node, boolean stopping) {
		NodeName name = node.incarnation().node();
		PMap<NodeName, LiveNode> nodes = turn.state().liveNodes().nodes();
		if (!nodes.containsKey(name)) {
			turn.log(LogEvent.NODE_ALIVE, node.incarnation().toString());
		}
		turn.set(turn.state().withLiveNodes(new LiveNodes(nodes.plus(name, new LiveNode(node, stopping, turn.now())))));
		if (!node.equals(turn.self())) {
			turn.set(turn.state().withContacts(turn.state().contacts().plus(name, node)));
		}
	}

	private static void forget(MembershipTurn turn) {
		Duration bound = turn.policy().shortestInterval().multipliedBy(turn.policy().missedHeartbeats());
		PMap<NodeName, LiveNode> nodes = turn.state().liveNodes().nodes();
		for (LiveNode node : turn.state().liveNodes().nodes().values()) {
			if (node.heardAt().plus(bound).isBefore(turn.now())) {
				nodes = nodes.minus(node.identity().incarnation().node());
				turn.log(LogEvent.NODE_DEAD, node.identity().incarnation().toString());
			}
		}
		turn.set(turn.state().withLiveNodes(new LiveNodes(nodes)));
	}

}
