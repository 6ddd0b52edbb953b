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
 * Repairs groups while the platform answers no node of the data centre. It uses only
 * standbys that the allocation had claimed before, so that no new claim is needed. Groups
 * whose members have finished loading meanwhile start to serve.
 */
final class OfflineController {

	private static final Duration SILENCE_BEFORE_REPORT = Duration.ofSeconds(5);

	private static final Duration SILENCE_BEFORE_REPAIR = Duration.ofSeconds(10);

	private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

	private static final Duration REPORT_VALIDITY = Duration.ofSeconds(3);

	private OfflineController() {
	}

	/**
	 * Reports to the other stewards that the platform does not answer this node.
	 * @param step the current step
	 * @param steward whether this node is a steward
	 */
	static void tick(GroupStep step, boolean steward) {
		AllocationState allocation = step.state().allocation();
		boolean isSilent = steward && allocation.known().isPresent()
				&& isPlatformSilentFor(step, SILENCE_BEFORE_REPORT);
		if (!isSilent || step.now().isBefore(step.state().offline().nextWordAt())) {
			return;
		}
		step.update(
				step.state().withOffline(step.state().offline().withNextReportAt(step.now().plus(REPORT_INTERVAL))));
		for (NodeIdentity other : otherStewards(step)) {
			step.emit(new PeerEffect.Send(other, new PlatformSilent(allocation.version())));
		}
	}

	static void handleMessage(GroupStep step, NodeIdentity from, PlatformSilent message) {
		if (message.allocationVersion() <= step.state().allocation().version()) {
			step.update(
					step.state().withOffline(step.state().offline().withSilentPeer(from.incarnation(), step.now())));
		}
	}

	// If only this node has lost its link to the platform, another node may acquire the
	// lease and repair the same group with the same standby. Each would then remove the
	// VMs from the other's group. So this node repairs groups only if it may decide at
	// all and at least one other steward confirms that the platform does not answer.
	static boolean mayRepair(GroupStep step) {
		return mayDecide(step) && !otherStewards(step).isEmpty();
	}

	/**
	 * Returns whether this node may decide about groups in a way that needs no command to
	 * an engine.
	 * @param step the current step
	 * @return true if this node was the last holder of the lease, and all other stewards,
	 * if there are any, report that the platform does not answer them either
	 */
	static boolean mayDecide(GroupStep step) {
		GroupState state = step.state();
		Optional<Allocation> known = state.allocation().known();
		boolean heldLast = state.lease()
			.seen()
			.map(ControllerLease::holder)
			.filter(step.view().self().incarnation()::equals)
			.isPresent();
		if (!heldLast || known.isEmpty() || known.get().fencingNumber() != state.lease().fencingNumber()
				|| !isPlatformSilentFor(step, SILENCE_BEFORE_REPAIR)) {
			return false;
		}
		Instant oldestValid = step.now().minus(REPORT_VALIDITY);
		return otherStewards(step).stream()
			.allMatch((other) -> state.offline()
				.silentPeers()
				.getOrDefault(other.incarnation(), Instant.MIN)
				.isAfter(oldestValid));
	}

	private static boolean isPlatformSilentFor(GroupStep step, Duration time) {
		return step.state().allocation().confirmedAt().isBefore(step.now().minus(time));
	}

	private static List<NodeIdentity> otherStewards(GroupStep step) {
		return Rendezvous.stewards(step.view(), step.view().self().dataCentre())
			.stream()
			.filter((node) -> !node.equals(step.view().self()))
			.toList();
	}

	/**
	 * Lets the recorded groups serve that have finished loading. The record that they
	 * serve can't be written, and without it a data centre whose groups were being loaded
	 * when the platform went down would refuse all requests until it is back.
	 * @param step the current step
	 * @param context the state that the decision is based on
	 */
	static void serveLoadedGroups(GroupStep step, PlanContext context) {
		for (GroupRecord record : step.state().effectiveAllocation().orElseThrow().groups().values()) {
			if (!isRepair(record) && record.phase() == GroupPhase.FORMING && context.isComplete(record)) {
				serve(step, record.withPhase(GroupPhase.SERVING, "all members ready while the platform is silent"));
			}
		}
	}

	private static boolean isRepair(GroupRecord record) {
		return record.identity().generation() >= OfflineState.FIRST_OFFLINE_GENERATION;
	}

	private static void serve(GroupStep step, GroupRecord record) {
		recordChange(step, record, false);
		step.log(LogEvent.GROUP_CHANGED, record.identity().name() + " generation " + record.identity().generation()
				+ " " + record.phase() + ": " + record.reason());
	}

	/**
	 * Repairs groups that the claimed standbys can complete, and sends the commands for
	 * these repairs.
	 * @param step the current step
	 * @param context the state that the decision is based on
	 */
	static void repairGroups(GroupStep step, PlanContext context) {
		Allocation allocation = step.state().effectiveAllocation().orElseThrow();
		for (GroupRecord record : allocation.groups().values()) {
			if (isRepair(record) && record.phase() == GroupPhase.FORMING && context.isComplete(record)) {
				recordRepair(step, record.withPhase(GroupPhase.SERVING, record.reason()), false);
			}
			else if (record.phase() == GroupPhase.SERVING && record.members().stream().anyMatch(context::isDead)) {
				repair(step, context, record);
			}
		}
		Allocation repaired = step.state().effectiveAllocation().orElseThrow();
		List<VmName> repairedVms = step.state()
			.offline()
			.currentRepairs(step.state().allocation().version())
			.stream()
			.filter(OfflineController::isRepair)
			.flatMap((record) -> record.members().stream())
			.toList();
		List<EngineReconciler.RequiredCommand> commands = EngineReconciler.requiredCommands(repaired, context)
			.stream()
			.filter((required) -> repairedVms.contains(required.entry().name()))
			.toList();
		EngineCommandDispatcher.dispatchWithoutRead(step, commands);
	}

	private static void repair(GroupStep step, PlanContext context, GroupRecord record) {
		Allocation allocation = step.state().effectiveAllocation().orElseThrow();
		List<VmName> members = new ArrayList<>(
				record.members().stream().filter((vm) -> context.isUsable(vm) && !context.isSilent(vm)).toList());
		allocation.standbys()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(record.identity().name().set()))
			.map((entry) -> entry.getKey())
			.filter((vm) -> context.isUsable(vm) && sharesDomain(context, record, vm))
			.limit(record.members().size() - members.size())
			.forEach(members::add);
		if (members.size() < record.members().size()) {
			return;
		}
		long generation = OfflineState.generation(allocation.fencingNumber(), step.state().offline().repairs());
		recordRepair(step,
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

	private static void recordRepair(GroupStep step, GroupRecord record, boolean isNew) {
		recordChange(step, record, isNew);
		step.log(LogEvent.GROUP_REPAIRED_OFFLINE, record.identity().name() + " " + record.phase());
	}

	private static void recordChange(GroupStep step, GroupRecord record, boolean isNewRepair) {
		step.update(step.state()
			.withOffline(step.state().offline().withRepair(step.state().allocation().version(), record, isNewRepair)));
	}

}
