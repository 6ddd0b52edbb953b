package sycamorehill.logic.layout;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;

/**
 * Controls the groups of one service: forms them, opens them when every member is ready,
 * and disbands those that lost a member.
 *
 * Members of a group are reused only after its head has left the group or has certainly
 * stopped serving. Otherwise an engine could join another group while its old head still
 * serves: it would be in two groups, and the old group would serve with a member missing.
 */
final class ServiceGroups {

	private final ServiceName service;

	private final SharedState shared;

	private final WeightLoadTracker loads;

	private final GroupBuilder builder;

	private final GroupDisbander disbander;

	private final GroupCompletenessTracker completeness = new GroupCompletenessTracker();

	private final FormedGroups formedGroups = new FormedGroups();

	private final FreeEngines freeEngines = FreeEngines.create();

	private final ModelDemand demand = ModelDemand.create();

	private final GroupConversions conversions;

	private final GroupSummary summary;

	private final TransitionPoller transitionPoller;

	private ServiceGroups(ServiceName service, SharedState shared, EntrySettings settings) {
		this.service = service;
		this.shared = shared;
		this.loads = WeightLoadTracker.of(LoadBudget.of(settings.loadWindow()), shared.phase());
		this.conversions = GroupConversions.of(this.demand, this.loads, shared.directory());
		this.disbander = GroupDisbander.of(shared.directory(), shared.commandSender(), settings.stallTime());
		this.builder = GroupBuilder.of(shared.directory(), shared.commandSender(), shared.unreachable(),
				this.disbander::hasEnded);
		this.summary = GroupSummary.of(service);
		this.transitionPoller = TransitionPoller.of(shared.commandSender(), this.loads);
	}

	static ServiceGroups of(ServiceName service, SharedState shared, EntrySettings settings) {
		return new ServiceGroups(service, shared, settings);
	}

	/**
	 * Starts a term of the controller and discards what earlier terms recorded, because
	 * another node may have changed anything.
	 * @param term the number of the term
	 * @param recentTerms number of terms of others that ended shortly before
	 */
	void startTerm(long term, int recentTerms) {
		this.builder.startTerm(term);
		this.disbander.clear();
		this.completeness.clear();
		this.formedGroups.clear();
		this.loads.clear(recentTerms);
		this.freeEngines.clear();
		this.demand.clear();
		this.conversions.clear();
	}

	Optional<GroupDisbander.GroupEnd> handleCommandAnswer(TargetName engine, EngineCommandRequest command,
			EngineCommandAnswer answer, Instant now) {
		if (command instanceof EngineCommandRequest.Join join) {
			this.builder.handleJoinAnswer(engine, join, answer);
		}
		else if (command instanceof EngineCommandRequest.Stage && !answer.isSuccessful()) {
			this.loads.recordRefused(engine);
		}
		else if (command instanceof EngineCommandRequest.Open open) {
			this.builder.handleOpenAnswer(open, answer, now);
		}
		else if (command instanceof EngineCommandRequest.Leave leave) {
			return this.disbander.handleLeaveAnswer(engine, leave, answer, now);
		}
		return Optional.empty();
	}

	void handleReport(TargetName engine, Membership membership) {
		this.builder.handleReport(engine, membership.group(), membership.epoch());
	}

	/**
	 * Checks all groups and sends the commands that are due.
	 * @param parameters the parameters of the engines
	 * @param groupActivity provides the number of requests of each group
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void control(EngineParameters parameters, GroupActivity groupActivity, Instant now, Effects effects) {
		TargetDirectory directory = this.shared.directory();
		List<TargetEntry> engines = directory.all().stream().filter(this::belongsToService).toList();
		List<TargetEntry> vanished = directory.vanished().stream().filter(this::belongsToService).toList();
		List<GroupView> allGroups = this.formedGroups.view(engines, vanished, parameters);
		List<GroupView> groups = allGroups.stream()
			.filter((group) -> FormedGroups.isConfigured(group, parameters))
			.toList();
		this.demand.update(parameters, groups, groupActivity, now);
		pollNotAnswering(engines, now, effects);
		if (!directory.isStoreReachable()) {
			this.transitionPoller.poll(engines, this.builder.formingGroups(), now, effects);
		}
		this.shared.vanished().update(groups, groupActivity, now, effects);
		keepOnly(allGroups);
		this.builder.dropUnformable(now, effects);
		Set<TargetName> claimed = new HashSet<>();
		groups.forEach((group) -> updateGroup(group, claimed, now, effects));
		allGroups.stream()
			.filter((group) -> !FormedGroups.isConfigured(group, parameters))
			.forEach((group) -> endUnconfigured(group, claimed, now, effects));
		this.builder.sendJoins(now, effects);
		this.builder.formingGroups()
			.forEach((group) -> group.members().forEach((member) -> claimed.add(member.name())));
		this.loads.removeFinished(engines, now);
		List<TargetEntry> freeEngines = engines.stream().filter((engine) -> isFree(engine, claimed, now)).toList();
		this.freeEngines.update(freeEngines, now);
		List<GroupView> activeGroups = groups.stream().filter((group) -> !isDisbanding(group)).toList();
		LayoutPlan.DesiredGroupCounts counts = DemandBasedGroupCounts.of(parameters, this.demand, engines.size());
		this.summary.write(
				parameters, new GroupSummary.ServiceSnapshot(counts, activeGroups, freeEngines,
						this.builder.formingGroups().size(), this.disbander.count(), this.loads.running()),
				now, effects);
		if (!this.shared.phase().enginesStillRegistering(engines.size(), now)) {
			execute(plan(parameters, counts, groups, freeEngines, now), parameters, now, effects);
			startLoads(this.conversions.plan(parameters, counts, activeGroups, now, effects), parameters, now, effects);
		}
	}

	private void keepOnly(List<GroupView> groups) {
		Set<GroupKey> seen = groups.stream().map(GroupView::key).collect(Collectors.toSet());
		this.disbander.keepOnly(groups);
		this.completeness.keepOnly(seen);
		this.conversions.keepOnly(seen);
		this.formedGroups.keepOnly(seen);
	}

	private boolean belongsToService(TargetEntry engine) {
		return engine.service().equals(this.service);
	}

	private void pollNotAnswering(List<TargetEntry> engines, Instant now, Effects effects) {
		EngineCommandSender commandSender = this.shared.commandSender();
		engines.stream()
			.filter((engine) -> this.shared.unreachable().isPollDue(engine, now)
					|| this.shared.unresponsive().contains(engine))
			.filter((engine) -> commandSender.isFree(engine, now))
			.forEach((engine) -> commandSender.requestReport(engine, now, effects));
	}

	private void updateGroup(GroupView group, Set<TargetName> claimed, Instant now, Effects effects) {
		if (this.disbander.hasEnded(group.key())) {
			return;
		}
		claim(group, claimed);
		boolean appeared = !this.completeness.mayStillAppear(group, now);
		boolean complete = group.allRanksReported()
				&& group.members().stream().noneMatch(this.shared.unreachable()::isUnusable);
		boolean healthy = complete && !this.builder.hasFailed(group, now) && !this.conversions.isPrepared(group);
		if (healthy && this.disbander.canBeCancelled(group)) {
			this.disbander.cancel(group, effects);
		}
		if (healthy && !this.disbander.isDisbanding(group)) {
			this.builder.openIfReady(group, now, effects);
		}
		else if (appeared && !isRecovering(group, now) && (complete || !this.builder.isForming(group))) {
			this.builder.drop(group);
			this.disbander.proceed(group, reachability(group), now, effects);
		}
	}

	private void endUnconfigured(GroupView group, Set<TargetName> claimed, Instant now, Effects effects) {
		if (!this.disbander.hasEnded(group.key())) {
			claim(group, claimed);
			if (isEvacuated(group.head()) && !isDisbanding(group)) {
				return;
			}
			this.builder.drop(group);
			this.disbander.proceed(group, reachability(group), now, effects);
		}
	}

	// After a partition heals, the engines behind it become reachable one after the
	// other.
	private boolean isRecovering(GroupView group, Instant now) {
		boolean justRecovered = group.members()
			.stream()
			.anyMatch((member) -> this.shared.unreachable().hasJustRecovered(member, now));
		return justRecovered && (!this.disbander.isDisbanding(group) || this.disbander.canBeCancelled(group));
	}

	private GroupDisbander.MemberReachability reachability(GroupView group) {
		UnreachableEngines unreachable = this.shared.unreachable();
		Set<TargetName> unreachableNames = group.members()
			.stream()
			.filter(unreachable::contains)
			.map(TargetEntry::name)
			.collect(Collectors.toSet());
		boolean complete = group.allRanksReported() && unreachableNames.isEmpty();
		boolean headReachable = group.headReported() && !unreachableNames.contains(group.head().name());
		return new GroupDisbander.MemberReachability(complete, headReachable, unreachableNames);
	}

	private static void claim(GroupView group, Set<TargetName> claimed) {
		group.members().forEach((member) -> claimed.add(member.name()));
	}

	private boolean isFree(TargetEntry engine, Set<TargetName> claimed, Instant now) {
		return !claimed.contains(engine.name()) && !this.shared.unreachable().isUnusable(engine)
				&& !this.shared.commandSender().isBoundByReport(engine, this.disbander::hasEnded, now)
				&& !this.shared.unresponsive().contains(engine) && !this.shared.directory().isMissing(engine.name());
	}

	private boolean isDisbanding(GroupView group) {
		return this.disbander.isDisbanding(group) || this.disbander.hasEnded(group.key());
	}

	private LayoutPlan.Steps plan(EngineParameters parameters, LayoutPlan.DesiredGroupCounts counts,
			List<GroupView> groups, List<TargetEntry> freeEngines, Instant now) {
		DomainInventories inventories = DomainInventories.create();
		groups.stream()
			.filter((group) -> !isDisbanding(group) && !this.builder.isForming(group))
			.forEach((group) -> inventories.addGroup(group.model(), group.head()));
		this.builder.formingGroups().forEach((group) -> inventories.addGroup(group.model(), group.members().get(0)));
		freeEngines.stream()
			.filter((engine) -> !isEvacuated(engine))
			.forEach((engine) -> inventories
				.addSpare(spare(engine, !this.shared.detached().isBlocked(engine, now), now)));
		groups.stream()
			.filter(this.disbander::isDisbanding)
			.flatMap((group) -> group.members().stream())
			.filter((member) -> !this.shared.unreachable().isUnusable(member) && !isEvacuated(member))
			.forEach((survivor) -> inventories.addSpare(spare(survivor, false, now)));
		return LayoutPlan.of(parameters, counts, inventories.all());
	}

	private boolean isEvacuated(TargetEntry engine) {
		return this.shared.directory().isEvacuated(engine);
	}

	private SpareEngine spare(TargetEntry engine, boolean usable, Instant now) {
		return new SpareEngine(engine, this.loads.loadingModel(engine), usable,
				this.freeEngines.isReassignable(engine, now));
	}

	private void execute(LayoutPlan.Steps steps, EngineParameters parameters, Instant now, Effects effects) {
		steps.formations().forEach((formation) -> this.builder.startForming(formation, now, effects));
		startLoads(steps.loads(), parameters, now, effects);
	}

	private void startLoads(List<LayoutPlan.Load> loads, EngineParameters parameters, Instant now, Effects effects) {
		for (LayoutPlan.Load load : loads) {
			EngineCommandRequest command = new EngineCommandRequest.Stage(load.model().name());
			if (this.loads.mayStart(load.blocksGroup(), parameters, now)
					&& this.shared.commandSender().send(load.engine(), command, now, effects)) {
				this.loads.recordStarted(load.engine(), load.model(), now);
			}
		}
	}

	/**
	 * The state and the components that all services share.
	 *
	 * @param directory the directory of targets
	 * @param commandSender sends commands to engines
	 * @param unreachable engines that could not be reached
	 * @param unresponsive engines that accept connections but don't answer
	 * @param vanished members whose directory entries vanished
	 * @param detached engines that left a group whose head may still serve
	 * @param phase the startup phase of the system
	 */
	record SharedState(TargetDirectory directory, EngineCommandSender commandSender, UnreachableEngines unreachable,
			UnresponsiveEngines unresponsive, VanishedMembers vanished, DetachedMembers detached, StartupPhase phase) {
	}

}
