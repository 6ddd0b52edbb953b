package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PSortedSet;

import sycamorehill.logic.NodeView;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Asks the observed engines in turn.
 */
final class AskTurns {

	private static final Duration DUTY_INTERVAL = Duration.ofSeconds(1);

	private AskTurns() {
	}

	/**
	 * Looks again at which VMs this node observes, now and then.
	 * @param state the state
	 * @param now own monotonic time
	 * @param view the node's view
	 * @return the state with its duty
	 */
	static ObservationState assign(ObservationState state, Instant now, NodeView view) {
		if (now.isBefore(state.nextDutyAt())) {
			return state;
		}
		PSet<VmName> observed = ObserverDuty.of(state.fleet().entries().keySet(), state.fleet().entries().size(), view);
		ObservationState changed = forget(state.withDuty(observed, now.plus(DUTY_INTERVAL)));
		PSortedSet<AskTurn> turns = state.turns();
		PSet<VmName> scheduled = state.scheduled();
		int place = 0;
		for (VmName vm : observed) {
			if (!scheduled.contains(vm)) {
				// Spreads the first questions over the interval.
				Duration interval = view.policy().observation().reportInterval();
				Duration delay = interval.multipliedBy(place++).dividedBy(observed.size());
				turns = turns.plus(new AskTurn(now.plus(delay), vm));
				scheduled = scheduled.plus(vm);
			}
		}
		return changed.withTurns(turns, scheduled);
	}

	private static ObservationState forget(ObservationState state) {
		PMap<VmName, VmObservation> own = state.sharing().own();
		if (own.size() <= state.observed().size()) {
			return state;
		}
		for (VmName vm : state.sharing().own().keySet()) {
			own = state.observed().contains(vm) ? own : own.minus(vm);
		}
		return state.withSharing(state.sharing().withOwn(own));
	}

	/**
	 * Asks the engines whose turn it is.
	 * @param state the state
	 * @param now own monotonic time
	 * @param policy the bounds
	 * @param effects takes the questions
	 * @return the state after them
	 */
	static ObservationState ask(ObservationState state, Instant now, ObservationPolicy policy, List<Effect> effects) {
		PSortedSet<AskTurn> turns = state.turns();
		PSet<VmName> scheduled = state.scheduled();
		while (!turns.isEmpty() && !turns.first().at().isAfter(now)) {
			AskTurn turn = turns.first();
			turns = turns.minus(turn);
			VmEntry entry = state.fleet().entries().get(turn.vm());
			if (entry != null && state.observed().contains(turn.vm())) {
				effects.add(new TargetEffect.AskReport(entry.name(), entry.address()));
				turns = turns.plus(new AskTurn(now.plus(policy.reportInterval()), turn.vm()));
			}
			else {
				scheduled = scheduled.minus(turn.vm());
			}
		}
		return state.withTurns(turns, scheduled);
	}

}
