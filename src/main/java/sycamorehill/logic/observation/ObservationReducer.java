package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.pcollections.PSortedSet;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Sight of target VMs: the VM list, and the engines' own reports.
 */
public final class ObservationReducer implements Reducer<ObservationState> {

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
			VmSight sight = new VmSight(received.report(), received.askedAt());
			return Step.of(state.withFleet(FleetUpdates.report(state.fleet(), sight)));
		}
		if (event instanceof TargetEvent.ReportFailed failed && failed.refused()) {
			return Step.of(state.withFleet(FleetUpdates.refused(state.fleet(), failed.vm(), now)));
		}
		if (event instanceof TargetEvent.VmListRead read && read.dataCentre().equals(view.self().dataCentre())) {
			return Step.of(listed(state, now, read, view.policy().observation()));
		}
		return Step.of(state);
	}

	private static ObservationState listed(ObservationState state, Instant now, TargetEvent.VmListRead read,
			ObservationPolicy policy) {
		ObservationState changed = state.withFleet(
				FleetUpdates.list(state.fleet(), read.entries(), read.dataCentre(), now, policy.leavingMemory()));
		PSortedSet<AskTurn> turns = changed.turns();
		int place = 0;
		for (VmEntry entry : changed.fleet().entries().values()) {
			if (!state.fleet().entries().containsKey(entry.name())) {
				// Spreads the first questions over the interval.
				Duration delay = policy.reportInterval().multipliedBy(place++).dividedBy(read.entries().size());
				turns = turns.plus(new AskTurn(now.plus(delay), entry.name()));
			}
		}
		return changed.withTurns(turns);
	}

	private static Step<ObservationState> tick(ObservationState state, Instant now, NodeView view) {
		ObservationPolicy policy = view.policy().observation();
		List<Effect> effects = new ArrayList<>();
		ObservationState changed = state;
		if (state.nextListAt().isEmpty() || !state.nextListAt().get().isAfter(now)) {
			effects.add(new TargetEffect.ReadVmList(view.self().dataCentre()));
			changed = changed.withNextListAt(now.plus(policy.listInterval()));
		}
		PSortedSet<AskTurn> turns = changed.turns();
		while (!turns.isEmpty() && !turns.first().at().isAfter(now)) {
			AskTurn turn = turns.first();
			turns = turns.minus(turn);
			VmEntry entry = changed.fleet().entries().get(turn.vm());
			if (entry != null) {
				effects.add(new TargetEffect.AskReport(entry.name(), entry.address()));
				turns = turns.plus(new AskTurn(now.plus(policy.reportInterval()), turn.vm()));
			}
		}
		return Step.of(changed.withTurns(turns), effects);
	}

}
