package sycamorehill.logic.group;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.observation.Rendezvous;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.peer.GroupsSent;
import sycamorehill.model.peer.PlatformSilent;
import sycamorehill.model.platform.PlatformAnswer;

/**
 * Forming, repairing and draining of model groups.
 */
public final class GroupReducer implements Reducer<GroupState> {

	private GroupReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static GroupReducer create() {
		return new GroupReducer();
	}

	@Override
	public Step<GroupState> reduce(GroupState state, Instant now, Event event, NodeView view) {
		if (event instanceof NodeEvent.Ticked) {
			return tick(GroupTurn.of(state, now, view));
		}
		if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.GROUPS) {
			return answered(GroupTurn.of(state, now, view), answered);
		}
		if (event instanceof TargetEvent.OrderAnswered answered && answered.call().owner() == CallOwner.GROUPS) {
			GroupTurn turn = GroupTurn.of(state, now, view);
			OrderDesk.answered(turn, answered);
			return turn.end();
		}
		if (event instanceof PeerEvent.MessageReceived received && received.message() instanceof GroupsSent groups) {
			GroupTurn turn = GroupTurn.of(state, now, view);
			GroupSpread.received(turn, received.from(), groups);
			return turn.end();
		}
		if (event instanceof PeerEvent.MessageReceived received && received.message() instanceof PlatformSilent word) {
			GroupTurn turn = GroupTurn.of(state, now, view);
			OfflineController.heard(turn, received.from(), word);
			return turn.end();
		}
		if (event instanceof NodeEvent.StopRequested) {
			GroupTurn turn = GroupTurn.of(state.stop(), now, view);
			LeaseTurns.giveBack(turn);
			return turn.end();
		}
		return Step.of(state);
	}

	private static Step<GroupState> tick(GroupTurn turn) {
		turn.dropGivenUp();
		boolean steward = !turn.state().stopping() && Rendezvous.isSteward(turn.view());
		LeaseTurns.tick(turn, steward);
		AllocationTurns.tick(turn, steward);
		OfflineController.tick(turn, steward);
		Controller.tick(turn);
		GroupSpread.tick(turn, steward);
		return turn.end();
	}

	private static Step<GroupState> answered(GroupTurn turn, PlatformEvent.Answered answered) {
		PendingCall call = turn.state().pending().get(answered.call().number());
		if (call == null) {
			return turn.end();
		}
		turn.change(turn.state().withPending(turn.state().pending().minus(call.number())));
		switch (call.purpose()) {
			case READ_LEASE -> LeaseTurns.read(turn, answered);
			case WRITE_LEASE -> LeaseTurns.written(turn, answered);
			case READ_ALLOCATION -> AllocationTurns.read(turn, answered);
			case WRITE_ALLOCATION -> AllocationTurns.written(turn, answered);
		}
		boolean allocation = call.purpose() == PendingCall.Purpose.READ_ALLOCATION
				|| call.purpose() == PendingCall.Purpose.WRITE_ALLOCATION;
		if (allocation && isConfirmed(answered.answer())) {
			Controller.decide(turn);
		}
		return turn.end();
	}

	private static boolean isConfirmed(PlatformAnswer answer) {
		return answer instanceof PlatformAnswer.Found || answer instanceof PlatformAnswer.Missing
				|| answer instanceof PlatformAnswer.Written;
	}

}
