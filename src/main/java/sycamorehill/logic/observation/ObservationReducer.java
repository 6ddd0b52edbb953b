package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.GroupsSent;
import sycamorehill.model.peer.VmSightsSent;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Sight of target VMs: the VM list, the engines' own reports, and what other observers
 * have seen.
 */
public final class ObservationReducer implements Reducer<ObservationState> {

	private static final int LIST_READ_SELDOM = 15;

	private ObservationReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static ObservationReducer create() {
		return new ObservationReducer();
	}

	@Override
	public Step<ObservationState> reduce(ObservationState state, Instant now, Event event, NodeView view) {
		if (event instanceof NodeEvent.Ticked) {
			return tick(state, now, view);
		}
		if (event instanceof TargetEvent.ReportReceived received) {
			return Step.of(reported(state, new VmObservation(received.report(), received.askedAt())));
		}
		if (event instanceof TargetEvent.ReportFailed failed && failed.refused()) {
			return Step.of(state.withFleet(FleetUpdates.refused(state.fleet(), failed.vm(), now)));
		}
		DataCentreName own = view.self().dataCentre();
		if (event instanceof TargetEvent.VmListRead read && read.dataCentre().equals(own)) {
			Duration memory = view.policy().observation().leavingMemory();
			ObservationState listed = state
				.withFleet(FleetUpdates.list(state.fleet(), read.entries(), own, now, memory));
			return Step.of(listed.withDuty(listed.observed(), now));
		}
		if (event instanceof PeerEvent.MessageReceived received && received.from().dataCentre().equals(own)) {
			if (received.message() instanceof VmSightsSent sights) {
				return Step.of(SightSharing.received(state, now, received.from(), sights));
			}
			if (received.message() instanceof GroupsSent groups && groups.dataCentre().equals(own)) {
				return Step.of(compareList(state, now, groups.listHash(), view.policy().observation()));
			}
		}
		return Step.of(state);
	}

	private static ObservationState reported(ObservationState state, VmObservation sight) {
		VmName vm = sight.report().vm();
		ObservationState seen = state.withFleet(FleetUpdates.report(state.fleet(), sight));
		VmObservation before = state.sharing().own().get(vm);
		boolean newer = before == null || FleetUpdates.supersedes(sight, before);
		if (!newer || !state.observed().contains(vm)) {
			return seen;
		}
		return seen.withSharing(seen.sharing().withOwn(seen.sharing().own().plus(vm, sight)));
	}

	// A node that is no steward reads the list only when a steward knows another one, and
	// seldom otherwise: the reads must not grow with the nodes.
	private static ObservationState compareList(ObservationState state, Instant now, long listHash,
			ObservationPolicy policy) {
		Instant soon = now.plus(policy.listInterval());
		boolean same = Standing.of(state.fleet().entries().values()) == listHash;
		return (same || !state.nextListAt().isAfter(soon)) ? state : state.withNextListAt(now);
	}

	private static Step<ObservationState> tick(ObservationState state, Instant now, NodeView view) {
		ObservationPolicy policy = view.policy().observation();
		List<Effect> effects = new ArrayList<>();
		ObservationState changed = state;
		if (!state.nextListAt().isAfter(now)) {
			effects.add(new TargetEffect.ReadVmList(view.self().dataCentre()));
			boolean often = Rendezvous.isSteward(view) || state.fleet().listedAt().isEmpty();
			Duration wait = often ? policy.listInterval() : policy.listInterval().multipliedBy(LIST_READ_SELDOM);
			changed = changed.withNextListAt(now.plus(wait));
		}
		changed = AskTurns.assign(changed, now, view);
		changed = AskTurns.ask(changed, now, policy, effects);
		changed = SightSharing.send(changed, now, view, effects);
		return Step.of(changed, effects);
	}

}
