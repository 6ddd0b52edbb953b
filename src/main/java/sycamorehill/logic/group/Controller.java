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
import sycamorehill.model.group.VmSight;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.ticket.ItemInForce;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.ServiceKind;
import sycamorehill.model.ticket.Truth;

/**
 * The decisions of the node that holds the lease.
 */
final class Controller {

	private static final int MOST_ASKED = 8;

	private Controller() {
	}

	static void tick(GroupTurn turn) {
		if (turn.now().isBefore(turn.state().nextDecisionAt())) {
			return;
		}
		turn.change(turn.state().withNextDecisionAt(turn.now().plus(turn.policy().decisionInterval())));
		boolean offline = !turn.state().lease().holds(turn.now()) && OfflineController.mayAct(turn);
		watch(turn, offline);
		decide(turn);
		if (offline && turn.view().truth().isPresent()) {
			OfflineController.act(turn, context(turn, turn.view().truth().get()));
		}
	}

	/**
	 * Keeps the times since which groups and VMs have been as they are.
	 * @param turn the step
	 * @param offline whether this node repairs while the platform is silent
	 */
	private static void watch(GroupTurn turn, boolean offline) {
		Optional<Allocation> known = turn.state().effective();
		if (known.isEmpty() || !(offline || turn.state().lease().holds(turn.now()))) {
			return;
		}
		Fleet fleet = turn.view().fleet();
		Set<VmName> claimed = new TreeSet<>(known.get().standbys().keySet());
		PMap<GroupName, PhaseSince> phases = HashTreePMap.empty();
		for (GroupRecord record : known.get().groups().values()) {
			claimed.addAll(record.members());
			phases = phases.plus(record.identity().name(), since(turn.state(), record, turn.now()));
		}
		PMap<VmName, Instant> failures = turn.state().failedAt();
		for (VmName vm : claimed) {
			if (fleet.sight(vm).map(VmSight::report).filter((seen) -> seen.state() == EngineState.FAILED).isPresent()) {
				failures = failures.plus(vm, turn.now());
			}
		}
		Silences silences = turn.state()
			.silences()
			.look(fleet, known.get().groups().values(), known.get().standbys().keySet(),
					turn.view().liveNodes().dutiful(turn.view().self().dataCentre()).size() > 1, turn.now(),
					turn.view().policy().observation().reportInterval());
		turn.change(turn.state().withWatch(phases, silences, failures));
		askSilent(turn, silences);
	}

	// Before a VM is taken for dead the controller asks it itself, as well as its
	// observers do: what they say may be late.
	private static void askSilent(GroupTurn turn, Silences silences) {
		int asked = 0;
		for (VmName vm : silences.silent()) {
			VmEntry entry = turn.view().fleet().entries().get(vm);
			if (entry != null && asked++ < MOST_ASKED) {
				turn.emit(new TargetEffect.AskReport(vm, entry.address()));
			}
		}
	}

	private static PhaseSince since(GroupState state, GroupRecord record, Instant now) {
		PhaseSince before = state.phaseSince().get(record.identity().name());
		boolean same = before != null && before.identity().equals(record.identity())
				&& before.phase() == record.phase();
		return same ? before : new PhaseSince(record.identity(), record.phase(), now);
	}

	/**
	 * Decides, if this node may: it holds the lease, its view holds its own last write,
	 * and it knows the truth and the VM list.
	 * @param turn the step
	 */
	static void decide(GroupTurn turn) {
		GroupState state = turn.state();
		Optional<Truth> truth = turn.view().truth();
		boolean ready = state.lease().holds(turn.now()) && state.allocation().known().isPresent()
				&& state.allocation().attempt().isEmpty() && turn.view().fleet().listedAt().isPresent();
		if (!ready || truth.isEmpty()) {
			return;
		}
		Allocation allocation = state.effective().orElseThrow();
		PlanContext context = context(turn, truth.get());
		String mark = turn.view().self().incarnation() + "/" + state.nextCall();
		Allocation next = GroupPlanner.plan(allocation, context, state.lease().fencingNumber(), mark);
		if (next != state.allocation().known().get()) {
			AllocationTurns.write(turn, next);
			return;
		}
		OrderDesk.give(turn, EngineOrders.wishes(allocation, context));
	}

	private static PlanContext context(GroupTurn turn, Truth truth) {
		GroupState state = turn.state();
		return new PlanContext(turn.now(), turn.view().fleet(), shapes(turn.view(), truth), state.silences(),
				state.phaseSince(), state.failedAt(), turn.view().policy().observation(), turn.policy());
	}

	private static List<GroupShape> shapes(NodeView view, Truth truth) {
		List<GroupShape> shapes = new ArrayList<>();
		for (ItemInForce set : truth.groupSets(view.self().dataCentre())) {
			ModelGroupItem item = (ModelGroupItem) set.item();
			Optional<ServiceItem> service = truth.service(item.service())
				.filter((found) -> found.kind() == ServiceKind.MODEL);
			long setBy = truth.setBy(ItemKey.of(ItemKind.SERVICE, item.service().value()));
			service.ifPresent((found) -> shapes.add(GroupShape.of(set, found, setBy)));
		}
		return shapes;
	}

}
