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
 * Polls the engines of the observed VMs for reports, each at a fixed interval.
 */
final class EnginePolling {

	private static final Duration ASSIGNMENT_INTERVAL = Duration.ofSeconds(1);

	private EnginePolling() {
	}

	/**
	 * Updates which VMs this node observes, at most once per interval.
	 * @param state the current state
	 * @param now the monotonic time of this node
	 * @param view the view of this node
	 * @return the state with the observed VMs and their scheduled polls
	 */
	static ObservationState updateAssignment(ObservationState state, Instant now, NodeView view) {
		if (now.isBefore(state.nextDutyAt())) {
			return state;
		}
		PSet<VmName> observed = ObserverAssignment.observedVms(state.fleet().entries().keySet(),
				state.fleet().entries().size(), view);
		ObservationState changed = removeUnobserved(state.withObserved(observed, now.plus(ASSIGNMENT_INTERVAL)));
		PSortedSet<ScheduledPoll> polls = state.turns();
		PSet<VmName> scheduled = state.scheduled();
		int index = 0;
		for (VmName vm : observed) {
			if (!scheduled.contains(vm)) {
				// Spreads the first requests over the interval.
				Duration interval = view.policy().observation().reportInterval();
				Duration delay = interval.multipliedBy(index++).dividedBy(observed.size());
				polls = polls.plus(new ScheduledPoll(now.plus(delay), vm));
				scheduled = scheduled.plus(vm);
			}
		}
		return changed.withTurns(polls, scheduled);
	}

	private static ObservationState removeUnobserved(ObservationState state) {
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
	 * Requests the reports that are due.
	 * @param state the current state
	 * @param now the monotonic time of this node
	 * @param policy the observation policy
	 * @param effects receives the resulting effects
	 * @return the state with the next polls
	 */
	static ObservationState requestDueReports(ObservationState state, Instant now, ObservationPolicy policy,
			List<Effect> effects) {
		PSortedSet<ScheduledPoll> polls = state.turns();
		PSet<VmName> scheduled = state.scheduled();
		while (!polls.isEmpty() && !polls.first().at().isAfter(now)) {
			ScheduledPoll poll = polls.first();
			polls = polls.minus(poll);
			VmEntry entry = state.fleet().entries().get(poll.vm());
			if (entry != null && state.observed().contains(poll.vm())) {
				effects.add(new TargetEffect.AskReport(entry.name(), entry.address()));
				polls = polls.plus(new ScheduledPoll(now.plus(policy.reportInterval()), poll.vm()));
			}
			else {
				scheduled = scheduled.minus(poll.vm());
			}
		}
		return state.withTurns(polls, scheduled);
	}

}
