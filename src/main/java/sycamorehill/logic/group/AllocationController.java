package sycamorehill.logic.group;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.NodeView;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.ServiceKind;

/**
 * Makes the decisions of the node that holds the controller lease.
 */
final class AllocationController {

	private static final int MAXIMUM_REPORT_REQUESTS_PER_DECISION = 8;

	private AllocationController() {
	}

	static void tick(GroupStep step) {
		if (step.now().isBefore(step.state().nextDecisionAt())) {
			return;
		}
		step.update(step.state().withNextDecisionAt(step.now().plus(step.policy().decisionInterval())));
		boolean offline = !step.state().lease().isHeld(step.now()) && OfflineController.mayRepair(step);
		updateObservations(step, offline);
		decide(step);
		decideOffline(step, offline);
	}

	private static void decideOffline(GroupStep step, boolean mayRepair) {
		Optional<DesiredState> desiredState = step.view().desiredState();
		boolean mayDecide = !step.state().lease().isHeld(step.now()) && OfflineController.mayDecide(step);
		if (desiredState.isEmpty() || !mayDecide) {
			return;
		}
		OfflineController.serveLoadedGroups(step, context(step, desiredState.get()));
		if (mayRepair) {
			OfflineController.repairGroups(step, context(step, desiredState.get()));
		}
	}

	/**
	 * Updates the times since which groups have been in their phase and VMs have been
	 * silent.
	 * @param step the current step
	 * @param offline whether this node repairs groups while the platform does not answer
	 */
	private static void updateObservations(GroupStep step, boolean offline) {
		Optional<Allocation> known = step.state().effectiveAllocation();
		if (known.isEmpty() || !(offline || step.state().lease().isHeld(step.now()))) {
			return;
		}
		Fleet fleet = step.view().fleet();
		Set<VmName> claimed = new TreeSet<>(known.get().standbys().keySet());
		PMap<GroupName, PhaseStart> phases = HashTreePMap.empty();
		for (GroupRecord record : known.get().groups().values()) {
			claimed.addAll(record.members());
			phases = phases.plus(record.identity().name(), phaseStart(step.state(), record, step.now()));
		}
		PMap<VmName, Instant> failures = step.state().failedAt();
		for (VmName vm : claimed) {
			if (fleet.observation(vm)
				.map(VmObservation::report)
				.filter((seen) -> seen.state() == EngineState.FAILED)
				.isPresent()) {
				failures = failures.plus(vm, step.now());
			}
		}
		VmSilences silences = step.state()
			.silences()
			.update(fleet, known.get().groups().values(), known.get().standbys().keySet(),
					step.view().liveNodes().notStoppingIn(step.view().self().dataCentre()).size() > 1, step.now(),
					step.view().policy().observation().reportInterval());
		step.update(step.state().withObservations(phases, silences, failures));
		requestReports(step, silences);
	}

	// The controller itself requests a report from a VM before it considers the VM dead,
	// because the reports that observers relay may arrive late.
	private static void requestReports(GroupStep step, VmSilences silences) {
		int asked = 0;
		for (VmName vm : silences.silentVms()) {
			VmEntry entry = step.view().fleet().entries().get(vm);
			if (entry != null && asked++ < MAXIMUM_REPORT_REQUESTS_PER_DECISION) {
				step.emit(new TargetEffect.AskReport(vm, entry.address()));
			}
		}
	}

	private static PhaseStart phaseStart(GroupState state, GroupRecord record, Instant now) {
		PhaseStart before = state.phaseSince().get(record.identity().name());
		boolean same = before != null && before.identity().equals(record.identity())
				&& before.phase() == record.phase();
		return same ? before : new PhaseStart(record.identity(), record.phase(), now);
	}

	/**
	 * Writes the next allocation or, if nothing changes, sends the due commands to
	 * engines. Does so only if this node holds the lease, knows the result of its last
	 * write, and knows the desired state and the VM list.
	 * @param step the current step
	 */
	static void decide(GroupStep step) {
		GroupState state = step.state();
		Optional<DesiredState> desiredState = step.view().desiredState();
		boolean ready = state.lease().isHeld(step.now()) && state.allocation().known().isPresent()
				&& state.allocation().attempt().isEmpty() && step.view().fleet().listedAt().isPresent();
		if (!ready || desiredState.isEmpty()) {
			return;
		}
		Allocation allocation = state.effectiveAllocation().orElseThrow();
		PlanContext context = context(step, desiredState.get());
		String mark = step.view().self().incarnation() + "/" + state.nextCall();
		Allocation next = GroupPlanner.plan(allocation, context, state.lease().fencingNumber(), mark);
		if (next != state.allocation().known().get()) {
			AllocationCalls.write(step, next);
			return;
		}
		EngineCommandDispatcher.dispatch(step, EngineReconciler.requiredCommands(allocation, context));
	}

	private static PlanContext context(GroupStep step, DesiredState desiredState) {
		GroupState state = step.state();
		return new PlanContext(step.now(), step.view().fleet(), specifications(step.view(), desiredState),
				state.silences(), state.phaseSince(), state.failedAt(), step.view().policy().observation(),
				step.policy());
	}

	private static List<GroupSpecification> specifications(NodeView view, DesiredState desiredState) {
		List<GroupSpecification> specifications = new ArrayList<>();
		for (AppliedItem set : desiredState.groupSets(view.self().dataCentre())) {
			ModelGroupItem item = (ModelGroupItem) set.item();
			Optional<ServiceItem> service = desiredState.service(item.service())
				.filter((found) -> found.kind() == ServiceKind.MODEL);
			long setBy = desiredState.lastSetBy(ItemKey.of(ItemKind.SERVICE, item.service().value()));
			service.ifPresent((found) -> specifications.add(GroupSpecification.of(set, found, setBy)));
		}
		return specifications;
	}

}
