package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.VmName;

/**
 * Determines the commands that bring the engines in line with the allocation.
 */
final class EngineReconciler {

	private EngineReconciler() {
	}

	/**
	 * Returns the commands that the allocation and the latest observations require.
	 * @param allocation the confirmed allocation
	 * @param context the state that the decision is based on
	 * @return the commands
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

	// A controller with an outdated view must not remove VMs from a group that was formed
	// since, because this would interrupt its streams. The allocation numbers the
	// generations: one that is lower than the next number and not in the allocation was
	// removed for good, whatever has been written since. A higher one is newer than this
	// view and is not touched. So the command does no harm however late it arrives.
	private static Optional<RequiredCommand> leaveCommand(Allocation allocation, PlanContext context, VmEntry entry) {
		Optional<GroupIdentity> group = freshReport(context, entry.name()).flatMap(VmReport::group);
		if (group.isEmpty() || !isRemoved(allocation, group.get().generation())) {
			return Optional.empty();
		}
		GroupRecord record = allocation.groups().get(group.get().name());
		boolean isMember = record != null && record.identity().equals(group.get())
				&& record.members().contains(entry.name());
		if (isMember) {
			return Optional.empty();
		}
		EngineCommand order = new EngineCommand.Leave(group.get(), allocation.fencingNumber());
		return Optional.of(new RequiredCommand(entry, order));
	}

	// A generation formed while the platform did not answer contains its controller's
	// fencing number. If the allocation has the same or a higher one and does not list
	// the generation, a later write or repair has removed it.
	private static boolean isRemoved(Allocation allocation, long generation) {
		return (generation < OfflineState.FIRST_OFFLINE_GENERATION) ? generation < allocation.nextGeneration()
				: OfflineState.fencingNumber(generation) <= allocation.fencingNumber();
	}

	private static void addJoinCommands(Allocation allocation, PlanContext context, GroupRecord record,
			List<RequiredCommand> commands) {
		for (VmName vm : record.members()) {
			VmEntry entry = context.fleet().entries().get(vm);
			Optional<VmReport> report = freshReport(context, vm);
			// A new controller must not restart a load that is in progress. So only an
			// engine that was recently observed in no group receives a join command.
			boolean isFree = report.isPresent() && report.get().group().isEmpty() && !report.get().leaving();
			if (entry != null && isFree) {
				commands.add(new RequiredCommand(entry, new EngineCommand.Join(record.identity(), record.members(),
						record.model(), record.modelVersion(), allocation.fencingNumber())));
			}
		}
	}

	/**
	 * Returns the forming groups that may load now. The weight store is shared and
	 * rate-limited, so only a few groups load at a time. Those whose load ends the most
	 * downtime soonest come first, so that some groups serve early instead of all late.
	 * @param allocation the confirmed allocation
	 * @param context the state that the decision is based on
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
			int unloaded = countUnloaded(context, record);
			if (hasStartedLoading(context, record) || loads == 0
					|| loads + unloaded <= context.policy().concurrentLoads()) {
				admitted.add(record);
				loads += unloaded;
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
		Set<VmName> unloaded = new HashSet<>(record.members());
		unloaded.removeIf((vm) -> isInState(context, vm, record, EngineState.READY));
		return unloaded.size();
	}

	private static boolean isInState(PlanContext context, VmName vm, GroupRecord record, EngineState state) {
		return freshReport(context, vm).filter((report) -> report.state() == state)
			.flatMap(VmReport::group)
			.filter(record.identity()::equals)
			.isPresent();
	}

	private static Optional<VmReport> freshReport(PlanContext context, VmName vm) {
		return context.fleet()
			.freshObservation(vm, context.now(), context.observation().freshness())
			.map(VmObservation::report);
	}

	/**
	 * Pairs a VM with a command for its engine.
	 *
	 * @param entry the VM
	 * @param command the command
	 */
	record RequiredCommand(VmEntry entry, EngineCommand command) {

	}

}
