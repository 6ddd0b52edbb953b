package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.EngineOrder;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.identity.VmName;

/**
 * The orders that bring the engines to what the allocation says.
 */
final class EngineReconciler {

	private EngineReconciler() {
	}

	/**
	 * The orders that the allocation and the present sights ask for.
	 * @param allocation the confirmed allocation
	 * @param context what the decision rests on
	 * @return the orders
	 */
	static List<RequiredCommand> requiredCommands(Allocation allocation, PlanContext context) {
		List<RequiredCommand> commands = new ArrayList<>();
		for (VmEntry entry : context.fleet().entries().values()) {
			leaveCommand(allocation, context, entry).ifPresent(commands::add);
		}
		for (GroupRecord record : groupsToLoad(allocation, context)) {
			addJoinCommands(allocation, context, record, commands);
		}
		return commands;
	}

	// Failure: a controller with an old view orders VMs out of a group that was formed
	// since, and cuts off its streams. Generations come from the allocation itself: one
	// that is lower than the next to be given and not in the allocation was given up for
	// ever, whatever has been written since; a higher one is newer than the view and is
	// left alone. So this order is harmless however late it arrives.
	private static Optional<RequiredCommand> leaveCommand(Allocation allocation, PlanContext context, VmEntry entry) {
		Optional<GroupIdentity> group = freshReport(context, entry.name()).flatMap(VmReport::group);
		if (group.isEmpty() || !isRemoved(allocation, group.get().generation())) {
			return Optional.empty();
		}
		GroupRecord record = allocation.groups().get(group.get().name());
		boolean member = record != null && record.identity().equals(group.get())
				&& record.members().contains(entry.name());
		if (member) {
			return Optional.empty();
		}
		EngineOrder order = new EngineOrder.Leave(group.get(), allocation.fencingNumber());
		return Optional.of(new RequiredCommand(entry, order));
	}

	// A generation given while the platform was silent was given up if a later controller
	// has written the allocation without it.
	private static boolean isRemoved(Allocation allocation, long generation) {
		return (generation < OfflineState.FIRST_OFFLINE_GENERATION) ? generation < allocation.nextGeneration()
				: OfflineState.fencingNumber(generation) <= allocation.fencingNumber();
	}

	private static void addJoinCommands(Allocation allocation, PlanContext context, GroupRecord record,
			List<RequiredCommand> commands) {
		for (VmName vm : record.members()) {
			VmEntry entry = context.fleet().entries().get(vm);
			Optional<VmReport> report = freshReport(context, vm);
			// Failure: a new controller starts a load again that is already under way.
			// Only an engine that was freshly seen in no group is ordered to join.
			boolean free = report.isPresent() && report.get().group().isEmpty() && !report.get().leaving();
			if (entry != null && free) {
				commands.add(new RequiredCommand(entry, new EngineOrder.Join(record.identity(), record.members(),
						record.model(), record.modelVersion(), allocation.fencingNumber())));
			}
		}
	}

	/**
	 * The forming groups that may load now. The weight store is rate-limited and shared:
	 * groups load one after the other, those first whose load ends the most downtime
	 * soonest, so that some serve early instead of all late.
	 * @param allocation the confirmed allocation
	 * @param context what the decision rests on
	 * @return the groups
	 */
	private static List<GroupRecord> groupsToLoad(Allocation allocation, PlanContext context) {
		List<GroupRecord> forming = allocation.groups()
			.values()
			.stream()
			.filter((record) -> record.phase() == GroupPhase.FORMING)
			.sorted(loadOrder(allocation, context))
			.toList();
		List<GroupRecord> admitted = new ArrayList<>();
		int loads = 0;
		for (GroupRecord record : forming) {
			int missing = countUnloaded(context, record);
			if (hasStartedLoading(context, record) || loads == 0
					|| loads + missing <= context.policy().concurrentLoads()) {
				admitted.add(record);
				loads += missing;
			}
		}
		return admitted;
	}

	private static Comparator<GroupRecord> loadOrder(Allocation allocation, PlanContext context) {
		return Comparator.comparing((GroupRecord record) -> !hasStartedLoading(context, record))
			.thenComparing((record) -> record.failures() > 0)
			.thenComparingLong((record) -> countServing(allocation, context, record))
			.thenComparingInt((record) -> countUnloaded(context, record))
			.thenComparing((record) -> record.identity().name());
	}

	private static long countServing(Allocation allocation, PlanContext context, GroupRecord record) {
		return allocation.groups()
			.values()
			.stream()
			.filter((other) -> other.service().equals(record.service()) && GroupRanking.isServing(other, context))
			.count();
	}

	private static boolean hasStartedLoading(PlanContext context, GroupRecord record) {
		return countUnloaded(context, record) < record.members().size()
				|| record.members().stream().anyMatch((vm) -> isInState(context, vm, record, EngineState.LOADING));
	}

	private static int countUnloaded(PlanContext context, GroupRecord record) {
		Set<VmName> missing = new HashSet<>(record.members());
		missing.removeIf((vm) -> isInState(context, vm, record, EngineState.READY));
		return missing.size();
	}

	private static boolean isInState(PlanContext context, VmName vm, GroupRecord record, EngineState state) {
		return freshReport(context, vm).filter((report) -> report.state() == state)
			.flatMap(VmReport::group)
			.filter(record.identity()::equals)
			.isPresent();
	}

	private static Optional<VmReport> freshReport(PlanContext context, VmName vm) {
		return context.fleet().freshSight(vm, context.now(), context.observation().freshness()).map(VmSight::report);
	}

	/**
	 * An order that is to be given.
	 *
	 * @param entry the VM
	 * @param command the order
	 */
	record RequiredCommand(VmEntry entry, EngineOrder command) {

	}

}
