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
	private static final Duration CONVERT_AFTER = Duration.ofSeconds(6);

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration SHOWS_WITHIN = Duration.ofSeconds(2);

	/**
	 * Time that a closing head is given for what it runs: the longest answers take 8 s.
	 */
	private static final Duration CLOSING_TIME = Duration.ofSeconds(8);

	/** Added to the stall time before a head that doesn't answer is taken as broken. */
	private static final Duration BROKEN_MARGIN = Duration.ofMillis(1500);

	/** A group that is not ready after so many times its longest load is taken apart. */
	private static final int LOAD_TIMES = 6;

	/** Loads that run side by side, against those that run at full speed. */
	private static final int LOADS_SIDE_BY_SIDE = 2;

	/**
	 * Before traffic, loads are fast and unbounded; after this time it is taken to begin.
	 */
	private static final Duration TRAFFIC_BEGINS = Duration.ofMillis(13500);

	/** Distance between the epochs of two terms, more than any term uses up. */
	private static final long EPOCHS_PER_TERM = 1_000_000;

	private final EntrySettings settings;

	private final TargetDirectory directory;

	private final LeaseKeeper lease;

	private final EngineLedger ledger = EngineLedger.create();

	private final LoadBudget loads;

	private final Instant started;

	private final Map<String, FormingGroup> forming = new HashMap<>();

	private final Map<String, Dissolving> dissolving = new HashMap<>();

	private final Set<String> dissolved = new HashSet<>();

	private final Map<String, Instant> opened = new HashMap<>();

	private final Map<TargetName, Instant> freeSince = new HashMap<>();

	private final Map<TargetName, Long> lost = new HashMap<>();

	private long term;

	private long epochs;

	private boolean trafficSeen;

	private GroupControl(EntrySettings settings, TargetDirectory directory, String self, Instant started) {
		this.settings = settings;
		this.directory = directory;
		this.lease = LeaseKeeper.of(self);
		this.loads = LoadBudget.of(settings.loadWindow());
		this.started = started;
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
	 */
	public void trafficSeen() {
		this.trafficSeen = true;
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
		else if (order instanceof EngineOrderCall.Open open && holds) {
			this.opened.put(key(open.group(), open.epoch()), now);
		}
		else if (order instanceof EngineOrderCall.Leave leave) {
			leaveAnswered(leave, answer, holds);
		}
	}

	private void joinAnswered(TargetName engine, EngineOrderCall.Join join, EngineOrderAnswer answer, boolean holds) {
		FormingGroup group = this.forming.get(key(join.group(), join.epoch()));
		if (group == null) {
			return;
		}
		if (holds) {
			group.joined(engine);
		}
		else if (answer == EngineOrderAnswer.OUTDATED || answer == EngineOrderAnswer.OTHER_TARGET
				|| answer == EngineOrderAnswer.NOTHING_LISTENS) {
			this.forming.remove(key(join.group(), join.epoch()));
		}
	}

	private void leaveAnswered(EngineOrderCall.Leave leave, EngineOrderAnswer answer, boolean holds) {
		// An engine that refuses to leave is not in that group; one that is not there any
		// more, or another one at its address, heads no group either.
		if (holds || answer == EngineOrderAnswer.CONFLICT || answer == EngineOrderAnswer.OUTDATED
				|| answer == EngineOrderAnswer.OTHER_TARGET || answer == EngineOrderAnswer.NOTHING_LISTENS) {
			String key = key(leave.group(), leave.epoch());
			this.dissolving.remove(key);
			this.dissolved.add(key);
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
			FormingGroup group = this.forming.get(key(membership.group(), membership.epoch()));
			if (group != null) {
				group.joined(engine);
			}
		});
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
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void tick(Optional<Configuration> configuration, Instant now, Effects effects) {
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
		this.dissolving.clear();
		this.dissolved.clear();
		this.opened.clear();
		this.freeSince.clear();
		this.ledger.clear();
		if (this.term > 1) {
			this.loads.closeFor(this.settings.loadWindow(), now);
		}
	}

	private void control(ServiceFigures service, EngineFigures figures, Instant now, Effects effects) {
		List<TargetEntry> engines = this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service.name()))
			.toList();
		List<GroupView> groups = GroupViews.of(engines, figures);
		Set<TargetName> claimed = new HashSet<>();
		dropHopeless();
		for (GroupView group : groups) {
			handle(group, claimed, now, effects);
		}
		for (FormingGroup group : this.forming.values()) {
			group.members().forEach((member) -> claimed.add(member.name()));
			orderJoins(group, now, effects);
		}
		List<TargetEntry> free = freeEngines(engines, claimed, now);
		form(figures, groups, free, now, effects);
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
		String key = key(group.name(), group.epoch());
		FormingGroup own = this.forming.get(key);
		if (this.dissolved.contains(key)) {
			return;
		}
		boolean intact = group.allSeen() && group.members().stream().noneMatch(this::unusable);
		if (intact && !this.dissolving.containsKey(key)) {
			claim(group, claimed);
			tend(group, key, now, effects);
		}
		else if (own == null) {
			claim(group, claimed);
			dissolve(group, key, now, effects);
		}
	}

	private static void claim(GroupView group, Set<TargetName> claimed) {
		group.members().forEach((member) -> claimed.add(member.name()));
	}

	private void tend(GroupView group, String key, Instant now, Effects effects) {
		MemberState head = GroupView.state(group.head());
		if (head == MemberState.OPEN) {
			this.forming.remove(key);
			this.opened.remove(key);
		}
		else if (head == MemberState.BROKEN) {
			this.forming.remove(key);
			dissolve(group, key, now, effects);
		}
		else if (head == MemberState.READY && group.whole()) {
			this.forming.remove(key);
			Instant ordered = this.opened.get(key);
			if (ordered == null || now.isAfter(ordered.plus(SHOWS_WITHIN))) {
				order(group.head(), new EngineOrderCall.Open(group.name(), group.epoch()), now, effects);
			}
		}
		else if (head == MemberState.JOINING && !this.forming.containsKey(key)) {
			// Begun by a controller before this one: its joins were all accepted.
			this.dissolving.computeIfAbsent(key + " joining", (name) -> new Dissolving(group.head(), now));
			if (now.isAfter(this.dissolving.get(key + " joining").since.plus(longest(group)))) {
				dissolve(group, key, now, effects);
			}
		}
	}

	private static Duration longest(GroupView group) {
		return group.model().coldLoad().multipliedBy(LOAD_TIMES);
	}

	private void dissolve(GroupView group, String key, Instant now, Effects effects) {
		Dissolving state = this.dissolving.computeIfAbsent(key, (name) -> {
			effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch()
					+ " taken apart seen=" + group.members().size() + " of=" + group.model().size());
			return new Dissolving(group.headSeen() ? group.head() : null, now);
		});
		if (group.headSeen()) {
			state.head = group.head();
		}
		if (state.head == null) {
			// The head was gone before this node saw it: nobody can be asked.
			if (now.isAfter(state.since.plus(this.settings.stallTime()).plus(BROKEN_MARGIN))) {
				this.dissolving.remove(key);
				this.dissolved.add(key);
			}
			return;
		}
		Optional<TargetEntry> present = this.directory.find(state.head.name());
		boolean elsewhere = present.isPresent()
				&& (present.get().anotherLife(state.head) || !isMember(present.get(), group));
		boolean silent = now.isAfter(state.since.plus(this.settings.stallTime()).plus(BROKEN_MARGIN))
				&& (present.isEmpty() || isLost(present.get()));
		if (elsewhere || silent) {
			this.dissolving.remove(key);
			this.dissolved.add(key);
			return;
		}
		if (closesFirst(group, state, now)) {
			orderOnce(state, new EngineOrderCall.Close(group.name(), group.epoch()), now, effects);
			return;
		}
		orderOnce(state, new EngineOrderCall.Leave(group.name(), group.epoch()), now, effects);
	}

	// A group whose members only leave finishes what it runs before it is taken apart.
	private boolean closesFirst(GroupView group, Dissolving state, Instant now) {
		boolean standing = group.allSeen() && group.members().stream().noneMatch(this::isLost);
		MemberState head = GroupView.state(group.head());
		return standing && (head == MemberState.OPEN || head == MemberState.CLOSING)
				&& now.isBefore(state.since.plus(CLOSING_TIME));
	}

	private static boolean isMember(TargetEntry entry, GroupView group) {
		return entry.membership()
			.filter((membership) -> membership.group().equals(group.name()) && membership.epoch() == group.epoch())
			.isPresent();
	}

	private void orderOnce(Dissolving state, EngineOrderCall order, Instant now, Effects effects) {
		boolean same = order.getClass().equals(state.ordered);
		if ((same && now.isBefore(state.orderedAt.plus(SHOWS_WITHIN))) || !this.ledger.free(state.head.name(), now)) {
			return;
		}
		state.ordered = order.getClass();
		state.orderedAt = now;
		// These orders name the group and its epoch: carried out late they do no harm, so
		// they need no count.
		this.ledger.called(state.head.name(), now);
		effects.add(new EntryEffect.SendOrder(address(state.head), order, EntryEffect.SendOrder.ANY_COUNT));
	}

	private void orderJoins(FormingGroup group, Instant now, Effects effects) {
		for (TargetEntry member : group.members()) {
			Optional<Membership> membership = this.directory.find(member.name()).flatMap(TargetEntry::membership);
			boolean shown = membership
				.filter((seen) -> seen.group().equals(group.name()) && seen.epoch() == group.epoch())
				.isPresent();
			if (!shown && !group.hasJoined(member.name())) {
				order(member, group.order(), now, effects);
			}
		}
	}

	// Sends an order under the engine's count of orders, which is asked for if it isn't
	// known.
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
					&& !this.directory.lapsed(engine.name());
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

	private void form(EngineFigures figures, List<GroupView> groups, List<TargetEntry> free, Instant now,
			Effects effects) {
		List<TargetEntry> left = new ArrayList<>(free);
		GroupCount count = GroupCount.of(groups, this.forming.values(), this.dissolved, this.dissolving.keySet());
		GroupChoice choice = GroupChoice.of(figures, count::total);
		while (true) {
			Optional<GroupChoice.Proposal> proposal = choice.next(left, count::in, (engine) -> beforeTraffic(now)
					|| now.isAfter(this.freeSince.get(engine.name()).plus(CONVERT_AFTER)));
			if (proposal.isEmpty() || !mayLoad(proposal.get().loads(), figures, now)) {
				return;
			}
			FormingGroup group = begin(proposal.get(), now, effects);
			count.add(group);
			left.removeAll(group.members());
		}
	}

	private FormingGroup begin(GroupChoice.Proposal proposal, Instant now, Effects effects) {
		this.epochs++;
		long epoch = this.term * EPOCHS_PER_TERM + this.epochs;
		FormingGroup group = FormingGroup.of(GroupNames.name(proposal.model().name(), epoch), epoch, proposal.model(),
				proposal.members(), now, proposal.loads());
		this.forming.put(key(group.name(), epoch), group);
		if (!beforeTraffic(now)) {
			this.loads.begin(proposal.loads(), now);
		}
		proposal.members().forEach((member) -> this.freeSince.remove(member.name()));
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " forming members="
				+ proposal.members().stream().map(TargetEntry::name).toList() + " loads=" + proposal.loads());
		orderJoins(group, now, effects);
		return group;
	}

	private boolean beforeTraffic(Instant now) {
		return this.settings.firstStart() && !this.trafficSeen && now.isBefore(this.started.plus(TRAFFIC_BEGINS));
	}

	private boolean mayLoad(int wanted, EngineFigures figures, Instant now) {
		int running = this.forming.values().stream().mapToInt(FormingGroup::loads).sum();
		boolean room = wanted == 0 || running == 0 || running + wanted <= figures.loadsAtOnce() * LOADS_SIDE_BY_SIDE;
		return room && (beforeTraffic(now) || this.loads.allows(wanted, figures.loadsPerSecond(), now));
	}

	private static TargetAddress address(TargetEntry engine) {
		return new TargetAddress(engine.name(), engine.address());
	}

	private static String key(String group, long epoch) {
		return group + '/' + epoch;
	}

	/**
	 * A group on its way out.
	 */
	private static final class Dissolving {

		private final Instant since;

		private TargetEntry head;

		private Class<? extends EngineOrderCall> ordered;

		private Instant orderedAt = Instant.MIN;

		Dissolving(TargetEntry head, Instant since) {
			this.head = head;
			this.since = since;
		}

	}

}
