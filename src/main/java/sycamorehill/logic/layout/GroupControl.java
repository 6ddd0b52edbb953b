package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.GroupViews;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ServiceFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Forms groups of engines, opens them when every member is ready, and takes apart those
 * that lost a member.
 *
 * Members of a group are used again only after its head has left it, or is surely gone:
 * an engine that joined another group while its old head still serves would be in two
 * groups, and the old group would serve with a member missing.
 */
public final class GroupControl {

	/**
	 * Time that a new controller watches before it gives orders, so that what the one
	 * before it began has shown in the directory.
	 */
	private static final Duration FIRST_LOOK = Duration.ofMillis(400);

	private final EntrySettings settings;

	private final TargetDirectory directory;

	private final LeaseKeeper lease;

	private final EngineLedger ledger = EngineLedger.create();

	private final EngineOrders orders = EngineOrders.of(this.ledger);

	private final LostEngines lost;

	private final StartPhase phase;

	private final WeightLoads loads;

	private final GroupBuilder builder;

	private final Dissolution dissolution;

	private final SeveredMembers severed;

	private final FreeEngines freeEngines = FreeEngines.create();

	private final GroupSummary summary = GroupSummary.create();

	private long term;

	private GroupControl(EntrySettings settings, TargetDirectory directory, String self, Instant started) {
		this.settings = settings;
		this.directory = directory;
		this.lease = LeaseKeeper.of(self);
		this.lost = LostEngines.of(directory);
		this.phase = StartPhase.of(settings, started);
		this.loads = WeightLoads.of(LoadBudget.of(settings.loadWindow()), this.phase);
		this.builder = GroupBuilder.of(directory, this.orders, this.lost);
		this.dissolution = Dissolution.of(directory, this.orders, settings.stallTime());
		this.severed = SeveredMembers.of(settings.stallTime(), settings.firstStart());
	}

	/**
	 * Creates the control, which awaits the lease.
	 * @param settings the node's settings
	 * @param directory the targets seen
	 * @param self names this process in the lease
	 * @param started start of the process
	 * @return the control
	 */
	public static GroupControl of(EntrySettings settings, TargetDirectory directory, String self, Instant started) {
		return new GroupControl(settings, directory, self, started);
	}

	/**
	 * Notes that callers send requests: loads are slow and bounded from now on.
	 * @param now the present time
	 */
	public void trafficSeen(Instant now) {
		this.phase.trafficSeen(now);
	}

	/**
	 * Takes an answer about the lease.
	 * @param answer the answer
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void leaseAnswered(LeaseAnswer answer, Instant now, Effects effects) {
		this.lease.answered(answer, now, effects);
	}

	/**
	 * Gives the control to another node.
	 * @param effects collects what is wanted
	 */
	public void stop(Effects effects) {
		this.lease.giveBack(effects);
	}

	/**
	 * Takes an engine's answer to an order.
	 * @param engine the engine
	 * @param order the order
	 * @param answer the answer
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void orderAnswered(TargetName engine, EngineOrderCall order, EngineOrderAnswer answer, Instant now,
			Effects effects) {
		effects.log(LogEvent.ENGINE_ORDER, "engine=" + engine + " order=" + order + " answer=" + answer);
		switch (answer) {
			case BEGUN -> this.ledger.accepted(engine);
			case HOLDS_ALREADY -> this.ledger.unchanged(engine);
			default -> this.ledger.uncertain(engine, now);
		}
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
			this.dissolution.answered(engine, leave, answer, now);
		}
	}

	/**
	 * Takes an engine's report.
	 * @param engine the engine
	 * @param report the report
	 */
	public void reportRead(TargetName engine, EngineReport report) {
		long born = this.directory.find(engine).map(TargetEntry::bornMillis).orElse(0L);
		this.ledger.read(engine, born, report.ordersAccepted());
		this.lost.reached(engine);
		report.membership()
			.ifPresent((membership) -> this.builder.reported(engine, membership.group(), membership.epoch()));
	}

	/**
	 * Looks at the members of a group whose answers have all paused: each is asked for
	 * its report, and one that can't be reached is lost.
	 * @param head the group's head
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void suspect(TargetName head, Instant now, Effects effects) {
		Optional<Membership> membership = this.directory.find(head).flatMap(TargetEntry::membership);
		if (!this.lease.held(now) || membership.isEmpty()) {
			return;
		}
		for (TargetEntry entry : this.directory.all()) {
			boolean member = entry.memberOf(membership.get().group(), membership.get().epoch());
			if (member && this.orders.free(entry, now)) {
				this.orders.ask(entry, now, effects);
			}
		}
	}

	/**
	 * Whether this node controls the groups.
	 * @param now the present time
	 * @return true while it surely does
	 */
	public boolean controls(Instant now) {
		return this.lease.held(now);
	}

	/**
	 * The node that controls the groups, as far as it is known.
	 * @return the node's name
	 */
	public Optional<String> controller() {
		return this.lease.holder();
	}

	/**
	 * Takes the failure to read an engine's report.
	 * @param engine the engine
	 * @param answer what was seen instead
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void reportFailed(TargetName engine, EngineOrderAnswer answer, Instant now, Effects effects) {
		this.ledger.uncertain(engine, now);
		this.directory.find(engine).ifPresent((entry) -> {
			this.lost.add(entry, now);
			effects.log(LogEvent.TARGET_CHANGED, "engine=" + engine + " lost: its report can't be read: " + answer);
		});
	}

	/**
	 * Looks at all groups and gives the orders that are due.
	 * @param configuration the configuration in force
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void tick(Optional<Configuration> configuration, Instant now, Effects effects) {
		this.severed.look(this.directory.all(), this.directory.changes(), now);
		this.lease.tick(now, effects);
		if (!this.lease.held(now) || configuration.isEmpty()) {
			return;
		}
		if (this.term != this.lease.term()) {
			begin();
		}
		boolean first = this.settings.firstStart() && this.term == 1;
		if (!first && now.isBefore(this.lease.holdingSince().plus(FIRST_LOOK))) {
			return;
		}
		for (ServiceFigures service : configuration.get().services().values()) {
			service.engines().ifPresent((figures) -> control(service, figures, now, effects));
		}
	}

	private void begin() {
		this.term = this.lease.term();
		this.builder.beginTerm(this.term);
		this.dissolution.clear();
		this.loads.clear(this.term > 1);
		this.freeEngines.clear();
		this.ledger.clear();
	}

	private void control(ServiceFigures service, EngineFigures figures, Instant now, Effects effects) {
		List<TargetEntry> engines = this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service.name()))
			.toList();
		List<GroupView> groups = GroupViews.of(engines, figures);
		Set<TargetName> claimed = new HashSet<>();
		engines.stream()
			.filter((engine) -> this.lost.due(engine, now) && this.orders.free(engine, now))
			.forEach((engine) -> this.orders.ask(engine, now, effects));
		this.builder.dropHopeless();
		this.dissolution.keepOnly(groups.stream().map(GroupView::key).collect(Collectors.toSet()));
		groups.forEach((group) -> handle(group, claimed, now, effects));
		this.builder.orderJoins(now, effects);
		this.builder.forming().forEach((group) -> group.members().forEach((member) -> claimed.add(member.name())));
		this.loads.look(engines, now);
		List<TargetEntry> free = engines.stream().filter((engine) -> free(engine, claimed)).toList();
		this.freeEngines.look(free, now);
		List<GroupView> standing = groups.stream().filter((group) -> !ending(group)).toList();
		this.summary.write(service.name(), figures, new GroupSummary.Sight(standing, free,
				this.builder.forming().size(), this.dissolution.count(), this.loads.running()), now, effects);
		if (!this.phase.stillEntering(engines.size(), now)) {
			carryOut(plan(figures, engines, groups, free, now), figures, now, effects);
		}
	}

	private void handle(GroupView group, Set<TargetName> claimed, Instant now, Effects effects) {
		if (this.dissolution.over(group)) {
			return;
		}
		boolean intact = group.allSeen() && group.members().stream().noneMatch(this.lost::unusable);
		if (intact && !this.dissolution.underWay(group) && !this.builder.hopeless(group, now)) {
			claim(group, claimed);
			this.builder.tend(group, now, effects);
		}
		else if (intact || !this.builder.builds(group)) {
			this.builder.drop(group);
			claim(group, claimed);
			boolean standing = group.allSeen() && group.members().stream().noneMatch(this.lost::contains);
			boolean headAnswers = group.headSeen() && !this.lost.contains(group.head());
			this.dissolution.proceed(group, new Dissolution.Sight(standing, headAnswers), now, effects);
		}
	}

	private static void claim(GroupView group, Set<TargetName> claimed) {
		group.members().forEach((member) -> claimed.add(member.name()));
	}

	private boolean free(TargetEntry engine, Set<TargetName> claimed) {
		return !claimed.contains(engine.name()) && !this.lost.unusable(engine) && !this.directory.lapsed(engine.name());
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
		free.forEach((engine) -> stocks.addSpare(spare(engine, !this.severed.holds(engine, now), now)));
		groups.stream()
			.filter(this.dissolution::underWay)
			.flatMap((group) -> group.members().stream())
			.filter((member) -> !this.lost.unusable(member))
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
			if (this.loads.mayBegin(figures, now) && this.orders.send(load.engine(), order, now, effects)) {
				this.loads.begun(load.engine(), load.model(), now);
			}
		}
	}

}
