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
 * Observes the target VMs by the VM list, the reports of their engines and the
 * observations of other nodes.
 */
public final class ObservationReducer implements Reducer<ObservationState> {

	private static final int NON_STEWARD_LIST_INTERVAL_FACTOR = 15;

	private ObservationReducer() {
	}

	/**
	 * Creates a reducer.
	 * @return the reducer
	 */
	public static ObservationReducer create() {
		return new ObservationReducer();
	}

	@Override
	public Step<ObservationState> reduce(ObservationState state, Instant now, Event event, NodeView view) {
		if (event instanceof NodeEvent.Ticked) {
			return handleTick(state, now, view);
		}
		if (event instanceof TargetEvent.ReportReceived received) {
			return Step.of(handleReport(state, new VmObservation(received.report(), received.askedAt())));
		}
		if (event instanceof TargetEvent.ReportFailed failed && failed.refused()) {
			return Step.of(state.withFleet(FleetUpdates.recordRefusal(state.fleet(), failed.vm(), now)));
		}
		DataCentreName own = view.self().dataCentre();
		if (event instanceof TargetEvent.VmListRead read && read.dataCentre().equals(own)) {
			Duration leavingMemory = view.policy().observation().leavingMemory();
			ObservationState listed = state
				.withFleet(FleetUpdates.applyList(state.fleet(), read.entries(), own, now, leavingMemory));
			return Step.of(listed.withObserved(listed.observed(), now));
		}
		if (event instanceof PeerEvent.MessageReceived received && received.from().dataCentre().equals(own)) {
			if (received.message() instanceof VmSightsSent message) {
				return Step.of(ObservationSharing.handleMessage(state, now, received.from(), message));
			}
			if (received.message() instanceof GroupsSent groups && groups.dataCentre().equals(own)) {
				return Step.of(handleListHash(state, now, groups.listHash(), view.policy().observation()));
			}
		}
		return Step.of(state);
	}

	private static ObservationState handleReport(ObservationState state, VmObservation observation) {
		VmName vm = observation.report().vm();
		ObservationState updated = state.withFleet(FleetUpdates.applyReport(state.fleet(), observation));
		VmObservation previous = state.sharing().own().get(vm);
		boolean newer = previous == null || FleetUpdates.supersedes(observation, previous);
		if (!newer || !state.observed().contains(vm)) {
			return updated;
		}
		return updated.withSharing(updated.sharing().withOwn(updated.sharing().own().plus(vm, observation)));
	}

	// A node that is not a steward reads the list when a steward publishes another hash,
	// and otherwise rarely. The number of reads must not grow with the number of nodes.
	private static ObservationState handleListHash(ObservationState state, Instant now, long listHash,
			ObservationPolicy policy) {
		Instant nextRead = now.plus(policy.listInterval());
		boolean same = StateHash.of(state.fleet().entries().values()) == listHash;
		return (same || !state.nextListAt().isAfter(nextRead)) ? state : state.withNextListAt(now);
	}

	private static Step<ObservationState> handleTick(ObservationState state, Instant now, NodeView view) {
		ObservationPolicy policy = view.policy().observation();
		List<Effect> effects = new ArrayList<>();
		ObservationState changed = state;
		if (!state.nextListAt().isAfter(now)) {
			effects.add(new TargetEffect.ReadVmList(view.self().dataCentre()));
			boolean frequent = Rendezvous.isSteward(view) || state.fleet().listedAt().isEmpty();
			Duration wait = frequent ? policy.listInterval()
					: policy.listInterval().multipliedBy(NON_STEWARD_LIST_INTERVAL_FACTOR);
			changed = changed.withNextListAt(now.plus(wait));
		}
		changed = EnginePolling.updateAssignment(changed, now, view);
		changed = EnginePolling.requestDueReports(changed, now, policy, effects);
		changed = ObservationSharing.send(changed, now, view, effects);
		return Step.of(changed, effects);
	}

}
