package sycamorehill.logic.group;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.GroupPolicy;

/**
 * Collects the state changes and the effects of one step of group control.
 */
final class GroupStep {

	private final List<Effect> effects = new ArrayList<>();

	private final Instant now;

	private final NodeView view;

	private GroupState state;

	private GroupStep(GroupState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	static GroupStep of(GroupState state, Instant now, NodeView view) {
		return new GroupStep(state, now, view);
	}

	GroupState state() {
		return this.state;
	}

	Instant now() {
		return this.now;
	}

	NodeView view() {
		return this.view;
	}

	GroupPolicy policy() {
		return this.view.policy().group();
	}

	void update(GroupState changed) {
		this.state = changed;
	}

	void emit(Effect effect) {
		this.effects.add(effect);
	}

	void log(LogEvent event, String detail) {
		emit(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

	long nextCallNumber() {
		long number = this.state.nextCall();
		this.state = this.state.withNextCall(number + 1);
		return number;
	}

	/**
	 * Calls the platform, unless a call of the same purpose is pending.
	 * @param purpose the purpose of the call
	 * @param request the request
	 * @return whether the call was made
	 */
	boolean callPlatform(PendingCall.Purpose purpose, PlatformRequest request) {
		if (this.state.isPending(purpose)) {
			return false;
		}
		long number = nextCallNumber();
		Instant givenUpAt = this.now.plus(policy().callTimeout().multipliedBy(2));
		this.state = this.state
			.withPending(this.state.pending().plus(number, new PendingCall(number, purpose, givenUpAt)));
		emit(new PlatformEffect.Call(CallIdentifier.of(CallOwner.GROUPS, number), request, policy().callTimeout()));
		return true;
	}

	// A call that is never answered would block all later calls of its purpose.
	void dropTimedOutCalls() {
		for (PendingCall call : this.state.pending().values()) {
			if (!call.givenUpAt().isAfter(this.now)) {
				this.state = this.state.withPending(this.state.pending().minus(call.number()));
			}
		}
	}

	Step<GroupState> result() {
		return Step.of(this.state, List.copyOf(this.effects));
	}

}
