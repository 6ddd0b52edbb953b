package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.observation.Rendezvous;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.peer.PlatformSilent;

/**
 * Repairs groups while the platform is silent to the whole data centre: only with
 * standbys that the allocation had claimed before, so that no new claim is needed.
 */
final class OfflineController {

	private static final Duration SAID_AFTER = Duration.ofSeconds(5);

	private static final Duration SILENT_AFTER = Duration.ofSeconds(10);

	private static final Duration WORD_INTERVAL = Duration.ofSeconds(1);

	private static final Duration WORD_BOUND = Duration.ofSeconds(3);

	private OfflineController() {
	}

	/**
	 * Tells the other stewards when the platform is silent.
	 * @param turn the step
	 * @param steward whether this node is a steward
	 */
	static void tick(GroupTurn turn, boolean steward) {
		AllocationState allocation = turn.state().allocation();
		boolean silent = steward && allocation.known().isPresent() && silentFor(turn, SAID_AFTER);
		if (!silent || turn.now().isBefore(turn.state().offline().nextWordAt())) {
			return;
		}
		turn.change(turn.state().withOffline(turn.state().offline().withNextWordAt(turn.now().plus(WORD_INTERVAL))));
		for (NodeIdentity other : others(turn)) {
			turn.emit(new PeerEffect.Send(other, new PlatformSilent(allocation.version())));
		}
	}

	static void heard(GroupTurn turn, NodeIdentity from, PlatformSilent word) {
		if (word.allocationVersion() <= turn.state().allocation().version()) {
			turn.change(turn.state().withOffline(turn.state().offline().heard(from.incarnation(), turn.now())));
		}
	}

	// Failure: only this node's link to the platform is cut, another node takes the
	// lease and repairs the same group with the same standby, and each orders the VMs
	// out of the other's group. So this node repairs only if it held the lease last,
	// and the other stewards, of which there must be one, hear nothing of the
	// platform either.
	static boolean mayAct(GroupTurn turn) {
		GroupState state = turn.state();
		Optional<Allocation> known = state.allocation().known();
		boolean heldLast = state.lease()
			.seen()
			.map(ControllerLease::holder)
			.filter(turn.view().self().incarnation()::equals)
			.isPresent();
		if (!heldLast || known.isEmpty() || known.get().fencingNumber() != state.lease().fencingNumber()
				|| !silentFor(turn, SILENT_AFTER)) {
			return false;
		}
		Instant bound = turn.now().minus(WORD_BOUND);
		List<NodeIdentity> others = others(turn);
		return !others.isEmpty() && others.stream()
			.allMatch((other) -> state.offline()
				.silentPeers()
				.getOrDefault(other.incarnation(), Instant.MIN)
				.isAfter(bound));
	}

	private static boolean silentFor(GroupTurn turn, Duration time) {
		return turn.state().allocation().confirmedAt().isBefore(turn.now().minus(time));
	}

	private static List<NodeIdentity> others(GroupTurn turn) {
		return Rendezvous.stewards(turn.view(), turn.view().self().dataCentre())
			.stream()
			.filter((node) -> !node.equals(turn.view().self()))
			.toList();
	}

	/**
	 * Repairs what standbys can repair, and sees it through.
	 * @param turn the step
	 * @param context what the decision rests on
	 */
	static void act(GroupTurn turn, PlanContext context) {
		Allocation allocation = turn.state().effective().orElseThrow();
		for (GroupRecord record : allocation.groups().values()) {
			boolean offline = record.identity().generation() >= OfflineState.FIRST_GENERATION;
			if (offline && record.phase() == GroupPhase.FORMING && context.whole(record)) {
				repaired(turn, record.withPhase(GroupPhase.SERVING, record.reason()), false);
			}
			else if (record.phase() == GroupPhase.SERVING && record.members().stream().anyMatch(context::dead)) {
				repair(turn, context, record);
			}
		}
		Allocation now = turn.state().effective().orElseThrow();
		List<VmName> concerned = turn.state()
			.offline()
			.applied(turn.state().allocation().version())
			.stream()
			.flatMap((record) -> record.members().stream())
			.toList();
		List<EngineOrders.Wish> wishes = EngineOrders.wishes(now, context)
			.stream()
			.filter((wish) -> concerned.contains(wish.entry().name()))
			.toList();
		OrderDesk.giveUnread(turn, wishes);
	}

	private static void repair(GroupTurn turn, PlanContext context, GroupRecord record) {
		Allocation allocation = turn.state().effective().orElseThrow();
		List<VmName> members = new ArrayList<>(
				record.members().stream().filter((vm) -> context.usable(vm) && !context.silent(vm)).toList());
		allocation.standbys()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(record.identity().name().set()))
			.map((entry) -> entry.getKey())
			.filter((vm) -> context.usable(vm) && sharesDomain(context, record, vm))
			.limit(record.members().size() - members.size())
			.forEach(members::add);
		if (members.size() < record.members().size()) {
			return;
		}
		long generation = OfflineState.generation(allocation.fencingNumber(), turn.state().offline().repairs());
		repaired(turn,
				new GroupRecord(GroupIdentity.of(record.identity().name(), generation), record.service(),
						record.model(), record.modelVersion(), members, GroupPhase.FORMING, record.ticket(),
						"repaired with a standby while the platform is silent", 0),
				true);
	}

	private static boolean sharesDomain(PlanContext context, GroupRecord record, VmName standby) {
		return record.members()
			.stream()
			.filter((vm) -> context.domain(vm).isPresent())
			.allMatch((vm) -> context.domain(vm).equals(context.domain(standby)));
	}

	private static void repaired(GroupTurn turn, GroupRecord record, boolean isNew) {
		turn.change(turn.state()
			.withOffline(turn.state().offline().with(turn.state().allocation().version(), record, isNew)));
		turn.log(LogEvent.GROUP_REPAIRED_OFFLINE, record.identity().name() + " " + record.phase());
	}

}
