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
import sycamorehill.logic.directory.GroupViews;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;

/**
 * The groups of one service: forms them, opens them when every member is ready, and takes
 * apart those that lost a member.
 *
 * Members of a group are used again only after its head has left it, or is surely gone:
 * an engine that joined another group while its old head still serves would be in two
 * groups, and the old group would serve with a member missing.
 */
final class ServiceGroups {

	private final ServiceName service;

	private final Surroundings surroundings;

	private final WeightLoads loads;

	private final GroupBuilder builder;

	private final Dissolution dissolution;

	private final GroupRosters rosters = new GroupRosters();

	private final FreeEngines freeEngines = FreeEngines.create();

	private final GroupSummary summary;

	private final Transitions transitions;

	private ServiceGroups(ServiceName service, Surroundings surroundings, EntrySettings settings) {
		this.service = service;
		this.surroundings = surroundings;
		this.loads = WeightLoads.of(LoadBudget.of(settings.loadWindow()), surroundings.phase());
		this.builder = GroupBuilder.of(surroundings.directory(), surroundings.orders(), surroundings.lost());
		this.dissolution = Dissolution.of(surroundings.directory(), surroundings.orders(), settings.stallTime());
		this.summary = GroupSummary.of(service);
		this.transitions = Transitions.of(surroundings.orders(), this.loads);
	}

	static ServiceGroups of(ServiceName service, Surroundings surroundings, EntrySettings settings) {
		return new ServiceGroups(service, surroundings, settings);
	}

	/**
	 * Begins a term of the controller: another node may have changed anything.
	 * @param term the term
	 */
	void beginTerm(long term) {
		this.builder.beginTerm(term);
		this.dissolution.clear();
		this.rosters.clear();
		this.loads.clear(term > 1);
		this.freeEngines.clear();
	}

	Optional<Dissolution.GroupEnd> orderAnswered(TargetName engine, EngineOrderCall order, EngineOrderAnswer answer,
			Instant now) {
		if (order instanceof EngineOrderCall.Join join) {
			this.builder.joinAnswered(engine, join, answer);
		}
		else if (order instanceof EngineOrderCall.Stage && !answer.holds()) {
			this.loads.refused(engine);
		}
		else if (order instanceof EngineOrderCall.Open open) {
			this.builder.openAnswered(open, answer, now);
		}
		else if (order instanceof EngineOrderCall.Leave leave) {
			return this.dissolution.answered(engine, leave, answer, now);
		}
		return Optional.empty();
	}

	void reported(TargetName engine, Membership membership) {
		this.builder.reported(engine, membership.group(), membership.epoch());
	}

	/**
	 * Looks at all groups and gives the orders that are due.
	 * @param figures what the engines do
	 * @param activity the load of groups
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void control(EngineFigures figures, GroupActivity activity, Instant now, Effects effects) {
		TargetDirectory directory = this.surroundings.directory();
		List<TargetEntry> engines = directory.all().stream().filter(this::own).toList();
		List<TargetEntry> vanished = directory.vanished().stream().filter(this::own).toList();
		List<GroupView> groups = GroupViews.of(engines, vanished, figures);
		askLost(engines, now, effects);
		if (!directory.isStoreReachable()) {
			this.transitions.ask(engines, this.builder.forming(), now, effects);
		}
		this.surroundings.vanished().look(groups, activity, now, effects);
		this.builder.dropHopeless();
		Set<GroupKey> seen = groups.stream().map(GroupView::key).collect(Collectors.toSet());
		this.dissolution.keepOnly(seen);
		this.rosters.keepOnly(seen);
		Set<TargetName> claimed = new HashSet<>();
		groups.forEach((group) -> handle(group, claimed, now, effects));
		this.builder.orderJoins(now, effects);
		this.builder.forming().forEach((group) -> group.members().forEach((member) -> claimed.add(member.name())));
		this.loads.look(engines, now);
		List<TargetEntry> free = engines.stream().filter((engine) -> free(engine, claimed)).toList();
		this.freeEngines.look(free, now);
		List<GroupView> standing = groups.stream().filter((group) -> !ending(group)).toList();
		this.summary.write(figures, new GroupSummary.Sight(standing, free, this.builder.forming().size(),
				this.dissolution.count(), this.loads.running()), now, effects);
		if (!this.surroundings.phase().stillEntering(engines.size(), now)) {
			carryOut(plan(figures, engines, groups, free, now), figures, now, effects);
		}
	}

	private boolean own(TargetEntry engine) {
		return engine.service().equals(this.service);
	}

	private void askLost(List<TargetEntry> engines, Instant now, Effects effects) {
		EngineOrders orders = this.surroundings.orders();
		engines.stream()
			.filter((engine) -> this.surroundings.lost().due(engine, now) && orders.free(engine, now))
			.forEach((engine) -> orders.ask(engine, now, effects));
	}

	private void handle(GroupView group, Set<TargetName> claimed, Instant now, Effects effects) {
		if (this.dissolution.over(group)) {
			return;
		}
		claim(group, claimed);
		boolean inSight = !this.rosters.comesIntoSight(group, now);
		boolean intact = group.allRanksReported()
				&& group.members().stream().noneMatch(this.surroundings.lost()::unusable);
		boolean sound = intact && !this.builder.hopeless(group, now);
		if (sound && this.dissolution.withoutEffect(group)) {
			this.dissolution.giveUp(group, effects);
		}
		if (sound && !this.dissolution.underWay(group)) {
			this.builder.tend(group, now, effects);
		}
		else if (inSight && !settling(group, now) && (intact || !this.builder.builds(group))) {
			this.builder.drop(group);
			this.dissolution.proceed(group, sight(group), now, effects);
		}
	}

	// Behind a partition that has just healed, one engine is reached after the other.
	private boolean settling(GroupView group, Instant now) {
		boolean justReached = group.members()
			.stream()
			.anyMatch((member) -> this.surroundings.lost().justReached(member, now));
		return justReached && (!this.dissolution.underWay(group) || this.dissolution.withoutEffect(group));
	}

	private Dissolution.Sight sight(GroupView group) {
		LostEngines lost = this.surroundings.lost();
		Set<TargetName> unreachable = group.members()
			.stream()
			.filter(lost::contains)
			.map(TargetEntry::name)
			.collect(Collectors.toSet());
		boolean standing = group.allRanksReported() && unreachable.isEmpty();
		boolean headAnswers = group.headReported() && !unreachable.contains(group.head().name());
		return new Dissolution.Sight(standing, headAnswers, unreachable);
	}

	private static void claim(GroupView group, Set<TargetName> claimed) {
		group.members().forEach((member) -> claimed.add(member.name()));
	}

	private boolean free(TargetEntry engine, Set<TargetName> claimed) {
		return !claimed.contains(engine.name()) && !this.surroundings.lost().unusable(engine)
				&& !this.surroundings.directory().isMissing(engine.name());
	}

	private boolean ending(GroupView group) {
		return this.dissolution.underWay(group) || this.dissolution.over(group);
	}

	private LayoutPlan.Steps plan(EngineFigures figures, List<TargetEntry> engines, List<GroupView> groups,
			List<TargetEntry> free, Instant now) {
		DomainStocks stocks = DomainStocks.create();
		groups.stream()
			.filter((group) -> !ending(group) && !this.builder.builds(group))
			.forEach((group) -> stocks.addGroup(group.model(), group.head()));
		this.builder.forming().forEach((group) -> stocks.addGroup(group.model(), group.members().get(0)));
		free.forEach((engine) -> stocks.addSpare(spare(engine, !this.surroundings.severed().holds(engine, now), now)));
		groups.stream()
			.filter(this.dissolution::underWay)
			.flatMap((group) -> group.members().stream())
			.filter((member) -> !this.surroundings.lost().unusable(member))
			.forEach((survivor) -> stocks.addSpare(spare(survivor, false, now)));
		return LayoutPlan.of(figures, GroupTargets.of(figures, engines.size()), stocks.all());
	}

	private SpareEngine spare(TargetEntry engine, boolean usable, Instant now) {
		return new SpareEngine(engine, this.loads.loading(engine), usable, this.freeEngines.settled(engine, now));
	}

	private void carryOut(LayoutPlan.Steps steps, EngineFigures figures, Instant now, Effects effects) {
		steps.formations().forEach((formation) -> this.builder.begin(formation, now, effects));
		for (LayoutPlan.Load load : steps.loads()) {
			EngineOrderCall order = new EngineOrderCall.Stage(load.model().name());
			if (this.loads.mayBegin(load.awaited(), figures, now)
					&& this.surroundings.orders().send(load.engine(), order, now, effects)) {
				this.loads.begun(load.engine(), load.model(), now);
			}
		}
	}

	/**
	 * What all services share.
	 *
	 * @param directory the targets seen
	 * @param orders sends orders to engines
	 * @param lost engines that could not be reached
	 * @param vanished members whose entries went
	 * @param severed engines that left a head that may still serve
	 * @param phase how far the start of the system has come
	 */
	record Surroundings(TargetDirectory directory, EngineOrders orders, LostEngines lost, VanishedMembers vanished,
			SeveredMembers severed, StartPhase phase) {
	}

}
