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
 * Handles the events that concern the formation, repair and draining of model groups.
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
			return tick(GroupStep.of(state, now, view));
		}
		if (event instanceof PlatformEvent.Answered answered && answered.call().owner() == CallOwner.GROUPS) {
			return handlePlatformAnswer(GroupStep.of(state, now, view), answered);
		}
		if (event instanceof TargetEvent.OrderAnswered answered && answered.call().owner() == CallOwner.GROUPS) {
			GroupStep step = GroupStep.of(state, now, view);
			EngineCommandDispatcher.handleAnswer(step, answered);
			return step.result();
		}
		if (event instanceof PeerEvent.MessageReceived received && received.message() instanceof GroupsSent groups) {
			GroupStep step = GroupStep.of(state, now, view);
			GroupPublisher.handleMessage(step, received.from(), groups);
			return step.result();
		}
		if (event instanceof PeerEvent.MessageReceived received
				&& received.message() instanceof PlatformSilent message) {
			GroupStep step = GroupStep.of(state, now, view);
			OfflineController.handleMessage(step, received.from(), message);
			return step.result();
		}
		if (event instanceof NodeEvent.StopRequested) {
			GroupStep step = GroupStep.of(state.withStopping(), now, view);
			ControllerLeaseCalls.release(step);
			return step.result();
		}
		return Step.of(state);
	}

	private static Step<GroupState> tick(GroupStep step) {
		step.dropTimedOutCalls();
		boolean steward = !step.state().stopping() && Rendezvous.isSteward(step.view());
		ControllerLeaseCalls.tick(step, steward);
		AllocationCalls.tick(step, steward);
		OfflineController.tick(step, steward);
		AllocationController.tick(step);
		GroupPublisher.tick(step, steward);
		return step.result();
	}

	private static Step<GroupState> handlePlatformAnswer(GroupStep step, PlatformEvent.Answered answered) {
		PendingCall call = step.state().pending().get(answered.call().number());
		if (call == null) {
			return step.result();
		}
		step.update(step.state().withPending(step.state().pending().minus(call.number())));
		switch (call.purpose()) {
			case READ_LEASE -> ControllerLeaseCalls.handleRead(step, answered);
			case WRITE_LEASE -> ControllerLeaseCalls.handleWrite(step, answered);
			case READ_ALLOCATION -> AllocationCalls.handleRead(step, answered);
			case WRITE_ALLOCATION -> AllocationCalls.handleWrite(step, answered);
		}
		boolean allocation = call.purpose() == PendingCall.Purpose.READ_ALLOCATION
				|| call.purpose() == PendingCall.Purpose.WRITE_ALLOCATION;
		if (allocation && confirmsAllocation(answered.answer())) {
			AllocationController.decide(step);
		}
		return step.result();
	}

	private static boolean confirmsAllocation(PlatformAnswer answer) {
		return answer instanceof PlatformAnswer.Found || answer instanceof PlatformAnswer.Missing
				|| answer instanceof PlatformAnswer.Written;
	}

}
