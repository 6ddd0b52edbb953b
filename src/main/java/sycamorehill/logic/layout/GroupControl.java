package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupNames;
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
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.ServiceFigures;
import sycamorehill.model.serving.TargetAddress;
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

	/**
	 * An engine that holds one model is loaded with another after it was free for so
	 * long.
	 */
	private static final Duration CONVERT_AFTER = Duration.ofSeconds(3);

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration SHOWS_WITHIN = Duration.ofSeconds(2);

	/** A group that is not ready after so many times its longest load is taken apart. */
	private static final int LOAD_TIMES = 6;

	/**
	 * Loads begun side by side before traffic, against those that run at full speed: the
	 * next one is then always there when one ends.
	 */
	private static final int LOADS_BEFORE_TRAFFIC = 2;

	/**
	 * Before traffic, loads are fast and unbounded; after this time it is taken to begin.
	 */
	private static final Duration TRAFFIC_BEGINS = Duration.ofMillis(13500);

	/** All engines are there when none came for so long; they come within a second. */
	private static final Duration ENTERED_AFTER = Duration.ofMillis(450);

	/**
	 * Forming begins at last: fast loads of 60 engines take 12 s of the 15 s before
	 * traffic.
	 */
	private static final Duration ENTERED_BY = Duration.ofMillis(2200);

	/**
	 * Spares are loaded by less than one in so many of the loads that run at full speed.
	 */
	private static final int STAGING_PART = 2;

	/** Requests tell the load once the first of them have run to their ends. */
	private static final Duration TRAFFIC_KNOWN_AFTER = Duration.ofSeconds(4);

	/** Distance between the epochs of two terms, more than any term uses up. */
	private static final long EPOCHS_PER_TERM = 1_000_000;

	private final EntrySettings settings;

	private final TargetDirectory directory;

	private final LeaseKeeper lease;

	private final EngineLedger ledger = EngineLedger.create();

	private final LoadBudget loads;

	private final Instant started;

	private final Map<String, FormingGroup> forming = new HashMap<>();

	private final Dissolution dissolution;

	private final SeveredMembers severed;

	private final Staging staging = Staging.create();

	private final Map<String, Instant> joiningSince = new HashMap<>();

	private final Map<String, Instant> opened = new HashMap<>();

	private final Map<TargetName, Instant> freeSince = new HashMap<>();

	private final Map<TargetName, Long> lost = new HashMap<>();

	private final GroupSummary summary = GroupSummary.create();

	private Demand demand = (target) -> 0;

	private long term;

	private long epochs;

	private int enginesSeen;

	private Instant enginesSeenSince = Instant.MIN;

	private Instant trafficSince;

	private boolean loadsBefore;

	private final GroupTargets targets = GroupTargets.create();

	private GroupControl(EntrySettings settings, TargetDirectory directory, String self, Instant started) {
		this.settings = settings;
		this.directory = directory;
		this.lease = LeaseKeeper.of(self);
		this.loads = LoadBudget.of(settings.loadWindow());
		this.started = started;
		this.dissolution = Dissolution.of(directory, this.ledger, settings.stallTime());
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
		if (this.trafficSince == null) {
			this.trafficSince = now;
		}
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
		boolean holds = answer == EngineOrderAnswer.BEGUN || answer == EngineOrderAnswer.HOLDS_ALREADY;
		if (order instanceof EngineOrderCall.Join join) {
			joinAnswered(engine, join, answer, holds);
		}
		else if (order instanceof EngineOrderCall.Stage && !holds) {
			this.staging.refused(engine);
		}
		else if (order instanceof EngineOrderCall.Open open && holds) {
			this.opened.put(GroupView.key(open.group(), open.epoch()), now);
		}
		else if (order instanceof EngineOrderCall.Leave leave) {
			this.dissolution.answered(engine, leave, answer, now);
		}
	}

	private void joinAnswered(TargetName engine, EngineOrderCall.Join join, EngineOrderAnswer answer, boolean holds) {
		FormingGroup group = this.forming.get(GroupView.key(join.group(), join.epoch()));
		if (group == null) {
			return;
		}
		if (holds) {
			group.joined(engine);
		}
		else if (answer == EngineOrderAnswer.OUTDATED || answer == EngineOrderAnswer.OTHER_TARGET
				|| answer == EngineOrderAnswer.NOTHING_LISTENS) {
			this.forming.remove(GroupView.key(join.group(), join.epoch()));
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
		this.lost.remove(engine);
		report.membership().ifPresent((membership) -> {
			FormingGroup group = this.forming.get(GroupView.key(membership.group(), membership.epoch()));
			if (group != null) {
				group.joined(engine);
			}
		});
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
			if (member && this.ledger.free(entry.name(), now)) {
				this.ledger.called(entry.name(), now);
				effects.add(new EntryEffect.ReadReport(address(entry)));
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
			this.lost.put(engine, entry.bornMillis());
			effects.log(LogEvent.TARGET_CHANGED, "engine=" + engine + " lost: its report can't be read: " + answer);
		});
	}

	/**
	 * Looks at all groups and gives the orders that are due.
	 * @param configuration the configuration in force
	 * @param present the requests at present
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void tick(Optional<Configuration> configuration, Demand present, Instant now, Effects effects) {
		this.demand = present;
		this.severed.look(this.directory.all(), this.directory.changes(), now);
		this.lease.tick(now, effects);
		if (!this.lease.held(now) || configuration.isEmpty()) {
			return;
		}
		if (this.term != this.lease.term()) {
			begin(now);
		}
		boolean first = this.settings.firstStart() && this.term == 1;
		if (!first && now.isBefore(this.lease.holdingSince().plus(FIRST_LOOK))) {
			return;
		}
		for (ServiceFigures service : configuration.get().services().values()) {
			service.engines().ifPresent((figures) -> control(service, figures, now, effects));
		}
	}

	private void begin(Instant now) {
		this.term = this.lease.term();
		this.epochs = 0;
		this.forming.clear();
		this.dissolution.clear();
		this.staging.clear();
		this.joiningSince.clear();
		this.opened.clear();
		this.freeSince.clear();
		this.ledger.clear();
		if (this.term > 1) {
			this.loadsBefore = true;
		}
	}

	private void control(ServiceFigures service, EngineFigures figures, Instant now, Effects effects) {
		List<TargetEntry> engines = this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service.name()))
			.toList();
		List<GroupView> groups = GroupViews.of(engines, figures);
		Set<TargetName> claimed = new HashSet<>();
		countLoadsBefore(figures, now);
		dropHopeless();
		this.dissolution.keepOnly(groups.stream().map(GroupView::key).collect(Collectors.toSet()));
		for (GroupView group : groups) {
			handle(group, claimed, now, effects);
		}
		for (FormingGroup group : this.forming.values()) {
			group.members().forEach((member) -> claimed.add(member.name()));
			orderJoins(group, now, effects);
		}
		List<TargetEntry> free = freeEngines(engines, claimed, now);
		List<GroupView> standing = groups.stream().filter((group) -> !this.dissolution.underWay(group)).toList();
		this.summary.write(service.name(), figures, new GroupSummary.Sight(standing, free, this.forming.size(),
				this.dissolution.count(), this.staging.running()), now, effects);
		this.staging.look(engines, now);
		if (stillEntering(engines.size(), now)) {
			return;
		}
		form(figures, groups, engines, free, now, effects);
	}

	// What the controller before began is not known: it had at most as many loads under
	// way as run at full speed, and half as many for spares.
	private void countLoadsBefore(EngineFigures figures, Instant now) {
		if (this.loadsBefore) {
			this.loadsBefore = false;
			this.loads.begin(figures.loadsAtOnce() + figures.loadsAtOnce() / STAGING_PART, now);
		}
	}

	/**
	 * Gives up the groups being formed that one of their engines can't be part of any
	 * more.
	 */
	private void dropHopeless() {
		this.forming.values().removeIf((group) -> group.members().stream().anyMatch(this::unusable));
	}

	private boolean unusable(TargetEntry member) {
		Optional<TargetEntry> present = this.directory.find(member.name());
		return present.isEmpty() || present.get().anotherLife(member) || present.get().leaving()
				|| isLost(present.get());
	}

	private boolean isLost(TargetEntry entry) {
		Long born = this.lost.get(entry.name());
		return born != null && born == entry.bornMillis();
	}

	private void handle(GroupView group, Set<TargetName> claimed, Instant now, Effects effects) {
		if (this.dissolution.over(group)) {
			return;
		}
		boolean intact = group.allSeen() && group.members().stream().noneMatch(this::unusable);
		boolean own = this.forming.containsKey(group.key());
		if (intact && !this.dissolution.underWay(group) && !hopeless(group, own, now)) {
			claim(group, claimed);
			tend(group, now, effects);
		}
		else if (intact || !own) {
			this.forming.remove(group.key());
			claim(group, claimed);
			boolean standing = group.allSeen() && group.members().stream().noneMatch(this::isLost);
			boolean headAnswers = group.headSeen() && !isLost(group.head());
			this.dissolution.proceed(group, new Dissolution.Sight(standing, headAnswers), now, effects);
		}
	}

	private static void claim(GroupView group, Set<TargetName> claimed) {
		group.members().forEach((member) -> claimed.add(member.name()));
	}

	// A group that broke, or that doesn't become ready.
	private boolean hopeless(GroupView group, boolean own, Instant now) {
		MemberState head = GroupView.state(group.head());
		if (head == MemberState.JOINING && !own) {
			Instant since = this.joiningSince.computeIfAbsent(group.key(), (key) -> now);
			return now.isAfter(since.plus(longest(group)));
		}
		this.joiningSince.remove(group.key());
		return head == MemberState.BROKEN || head == MemberState.CLOSING;
	}

	private void tend(GroupView group, Instant now, Effects effects) {
		MemberState head = GroupView.state(group.head());
		if (head == MemberState.OPEN) {
			this.forming.remove(group.key());
			this.opened.remove(group.key());
		}
		else if (head == MemberState.READY && group.whole()) {
			this.forming.remove(group.key());
			Instant ordered = this.opened.get(group.key());
			if (ordered == null || now.isAfter(ordered.plus(SHOWS_WITHIN))) {
				order(group.head(), new EngineOrderCall.Open(group.name(), group.epoch()), now, effects);
			}
		}
	}

	private static Duration longest(GroupView group) {
		return group.model().coldLoad().multipliedBy(LOAD_TIMES);
	}

	private void orderJoins(FormingGroup group, Instant now, Effects effects) {
		for (TargetEntry member : group.members()) {
			boolean shown = this.directory.find(member.name())
				.filter((seen) -> seen.memberOf(group.name(), group.epoch()))
				.isPresent();
			if (!shown && !group.hasJoined(member.name())) {
				order(member, group.order(), now, effects);
			}
		}
	}

	// The order names the engine's count of orders, which is asked for if not known.
	private void order(TargetEntry engine, EngineOrderCall order, Instant now, Effects effects) {
		if (!this.ledger.free(engine.name(), now)) {
			return;
		}
		this.ledger.called(engine.name(), now);
		OptionalLong count = this.ledger.ordersAccepted(engine.name(), engine.bornMillis());
		if (count.isEmpty()) {
			effects.add(new EntryEffect.ReadReport(address(engine)));
		}
		else {
			effects.add(new EntryEffect.SendOrder(address(engine), order, count.getAsLong()));
		}
	}

	private List<TargetEntry> freeEngines(List<TargetEntry> engines, Set<TargetName> claimed, Instant now) {
		List<TargetEntry> free = new ArrayList<>();
		for (TargetEntry engine : engines) {
			boolean usable = !claimed.contains(engine.name()) && !unusable(engine)
					&& !this.directory.lapsed(engine.name()) && !this.severed.holds(engine, now);
			if (usable) {
				this.freeSince.putIfAbsent(engine.name(), now);
				free.add(engine);
			}
			else {
				this.freeSince.remove(engine.name());
			}
		}
		return free;
	}

	private void form(EngineFigures figures, List<GroupView> groups, List<TargetEntry> engines, List<TargetEntry> free,
			Instant now, Effects effects) {
		List<TargetEntry> left = new ArrayList<>(free);
		List<GroupView> standing = groups.stream().filter((group) -> !ending(group)).toList();
		figures.models().forEach((model) -> this.targets.look(model, requests(standing, model), now));
		GroupCount count = GroupCount.of(standing, this.forming.values());
		DomainHolders holders = DomainHolders.of(engines, this.forming.values());
		GroupChoice choice = GroupChoice.of(figures, count,
				(model, loading) -> this.targets.wanted(model, figures, engines.size(), trafficKnown(now), loading),
				holders);
		GroupChoice.Conversion convertible = (engine, urgent) -> beforeTraffic(now)
				|| (longFree(engine, now) && (urgent || surplus(engine, free, figures)));
		Optional<GroupChoice.Proposal> proposal = choice.next(left, convertible, trafficKnown(now));
		while (proposal.isPresent() && mayLoad(proposal.get().loads(), figures, now)) {
			FormingGroup group = begin(proposal.get(), now, effects);
			count.add(group);
			holders.add(group);
			left.removeAll(group.members());
			proposal = choice.next(left, convertible, trafficKnown(now));
		}
		if (proposal.isEmpty() && choice.complete()) {
			stage(figures, standing, left, now, effects);
		}
	}

	// Engines enter themselves one by one when the system starts. Groups formed of the
	// first few would mix models in all domains.
	private boolean stillEntering(int engines, Instant now) {
		if (engines != this.enginesSeen) {
			this.enginesSeen = engines;
			this.enginesSeenSince = now;
		}
		return beforeTraffic(now) && now.isBefore(this.enginesSeenSince.plus(ENTERED_AFTER))
				&& now.isBefore(this.started.plus(ENTERED_BY));
	}

	private boolean trafficKnown(Instant now) {
		return this.trafficSince != null && now.isAfter(this.trafficSince.plus(TRAFFIC_KNOWN_AFTER));
	}

	private boolean ending(GroupView group) {
		return this.dissolution.underWay(group) || this.dissolution.over(group);
	}

	// A spare that holds the weights of a lost member replaces it within 2 s; one loaded
	// anew takes 12 to 16 s. Only spares that make up a whole group are too many.
	private boolean surplus(TargetEntry engine, List<TargetEntry> free, EngineFigures figures) {
		return engine.staged()
			.stream()
			.flatMap((held) -> figures.model(held).stream())
			.allMatch((model) -> free.stream()
				.filter((other) -> other.domain().equals(engine.domain()) && other.staged().contains(model.name()))
				.count() >= model.size());
	}

	private boolean longFree(TargetEntry engine, Instant now) {
		return now.isAfter(this.freeSince.get(engine.name()).plus(CONVERT_AFTER));
	}

	private int requests(List<GroupView> groups, ModelFigures model) {
		return groups.stream()
			.filter((group) -> group.model().equals(model))
			.mapToInt((group) -> this.demand.requests(group.head().name()))
			.sum();
	}

	private void stage(EngineFigures figures, List<GroupView> groups, List<TargetEntry> spares, Instant now,
			Effects effects) {
		List<TargetEntry> members = groups.stream().flatMap((group) -> group.members().stream()).toList();
		Optional<Staging.Proposal> proposal = this.staging.next(spares, members, figures, this.freeSince, now);
		while (proposal.isPresent() && mayStage(figures, now)
				&& this.ledger.free(proposal.get().engine().name(), now)) {
			TargetEntry engine = proposal.get().engine();
			order(engine, new EngineOrderCall.Stage(proposal.get().model().name()), now, effects);
			if (this.ledger.ordersAccepted(engine.name(), engine.bornMillis()).isEmpty()) {
				return;
			}
			this.staging.begun(engine, proposal.get().model(), now);
			countLoads(1, now);
			proposal = this.staging.next(spares, members, figures, this.freeSince, now);
		}
	}

	private void countLoads(int number, Instant now) {
		if (!beforeTraffic(now)) {
			this.loads.begin(number, now);
		}
	}

	private FormingGroup begin(GroupChoice.Proposal proposal, Instant now, Effects effects) {
		this.epochs++;
		long epoch = this.term * EPOCHS_PER_TERM + this.epochs;
		FormingGroup group = FormingGroup.of(GroupNames.name(proposal.model().name(), epoch), epoch, proposal.model(),
				proposal.members(), now, proposal.loads());
		this.forming.put(GroupView.key(group.name(), epoch), group);
		countLoads(proposal.loads(), now);
		proposal.members().forEach((member) -> this.freeSince.remove(member.name()));
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " forming members="
				+ proposal.members().stream().map(TargetEntry::name).toList() + " loads=" + proposal.loads());
		orderJoins(group, now, effects);
		return group;
	}

	private boolean beforeTraffic(Instant now) {
		return this.settings.firstStart() && this.trafficSince == null
				&& now.isBefore(this.started.plus(TRAFFIC_BEGINS));
	}

	private boolean mayLoad(int wanted, EngineFigures figures, Instant now) {
		int running = formingLoads();
		int most = figures.loadsAtOnce() * (beforeTraffic(now) ? LOADS_BEFORE_TRAFFIC : 1);
		boolean room = wanted == 0 || running == 0 || running + wanted <= most;
		return room && (beforeTraffic(now) || this.loads.allows(wanted, figures.loadsPerSecond(), now));
	}

	// Spares are loaded with what groups leave of the weight store: a group that waits
	// for its weights is worth more than a spare.
	private boolean mayStage(EngineFigures figures, Instant now) {
		int most = beforeTraffic(now) ? figures.loadsAtOnce() * LOADS_BEFORE_TRAFFIC
				: figures.loadsAtOnce() / STAGING_PART;
		return formingLoads() + this.staging.running() < most
				&& (beforeTraffic(now) || this.loads.allows(1, figures.loadsPerSecond(), now));
	}

	private int formingLoads() {
		return this.forming.values().stream().mapToInt(FormingGroup::loads).sum();
	}

	private static TargetAddress address(TargetEntry engine) {
		return new TargetAddress(engine.name(), engine.address());
	}

	/**
	 * Tells the load of groups.
	 */
	public interface Demand {

		/**
		 * Counts requests.
		 * @param head a group's head
		 * @return requests that the group has from all nodes
		 */
		int requests(TargetName head);

	}

}
