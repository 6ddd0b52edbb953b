package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.ServiceFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Controls the groups of engines of all services, while this node holds the right to.
 */
public final class GroupControl {

	/**
	 * Time that a new controller watches before it gives orders, so that what the one
	 * before it began has shown in the directory.
	 */
	private static final Duration FIRST_LOOK = Duration.ofMillis(400);

	/**
	 * Pause between two plans for each engine that there is: a plan takes longer the more
	 * engines there are, and each answer to an order would make one.
	 */
	private static final Duration PLAN_PAUSE_EACH_ENGINE = Duration.ofNanos(100_000);

	private final EntrySettings settings;

	private final TargetDirectory directory;

	private final LeaseKeeper lease;

	private final EngineLedger ledger = EngineLedger.create();

	private final EngineOrders orders = EngineOrders.of(this.ledger);

	private final VanishedMembers vanished;

	private final LostEngines lost;

	private final StartPhase phase;

	private final SeveredMembers severed;

	private final Map<ServiceName, ServiceGroups> services = new HashMap<>();

	private long term;

	private Instant planned = Instant.MIN;

	private GroupControl(EntrySettings settings, TargetDirectory directory, String self, Instant started) {
		this.settings = settings;
		this.directory = directory;
		this.lease = LeaseKeeper.of(self);
		this.vanished = VanishedMembers.of(directory, this.orders);
		this.lost = LostEngines.of(directory, this.vanished);
		this.phase = StartPhase.of(settings, started);
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
	 * Takes the lease as the node that reads the store has seen it.
	 * @param lease the lease
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void leaseHeard(Lease lease, Instant now, Effects effects) {
		this.lease.heard(lease, now, effects);
	}

	/**
	 * The lease as it was seen last.
	 * @return the lease; empty if none was seen
	 */
	public Optional<Lease> lease() {
		return this.lease.seen();
	}

	/**
	 * Gives the control to another node.
	 * @param effects collects what is wanted
	 */
	public void stop(Effects effects) {
		this.lease.giveBack(effects);
	}

	/**
	 * Notes that another process gave up the right to control the groups.
	 * @param holder names the process
	 * @param fed whether another node reads the store for this one
	 * @param now the present time
	 */
	public void leaseGivenUp(String holder, boolean fed, Instant now) {
		this.lease.givenUp(holder, fed, now);
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
			case HOLDS_ALREADY -> this.ledger.held(engine);
			default -> this.ledger.uncertain(engine, now);
		}
		for (ServiceGroups service : this.services.values()) {
			service.orderAnswered(engine, order, answer, now)
				.ifPresent((end) -> effects.add(new EntryEffect.TellAll(
						new NodeMessage.GroupEnded(this.settings.nodeName(), end.head(), end.group(), end.epoch()))));
		}
	}

	/**
	 * Takes an engine's report.
	 * @param engine the engine
	 * @param report the report
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void reportRead(TargetName engine, EngineReport report, Instant now, Effects effects) {
		this.directory.applyReport(engine, report)
			.ifPresent((change) -> effects
				.add(new EntryEffect.TellAll(new NodeMessage.TargetsSeen(this.settings.nodeName(), List.of(change)))));
		long born = this.directory.find(engine).map(TargetEntry::bornMillis).orElse(0L);
		this.ledger.read(engine, born, report.ordersAccepted());
		this.lost.reached(engine, now);
		this.vanished.answered(engine, report);
		report.membership()
			.ifPresent(
					(membership) -> this.services.values().forEach((service) -> service.reported(engine, membership)));
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
		for (TargetEntry entry : this.directory.vanished()) {
			if (entry.memberOf(membership.get().group(), membership.get().epoch())) {
				this.vanished.suspect(entry, now);
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
		this.vanished.failed(engine, now);
		this.directory.find(engine).ifPresent((entry) -> {
			this.lost.add(entry, now);
			effects.log(LogEvent.TARGET_CHANGED, "engine=" + engine + " lost: its report can't be read: " + answer);
		});
	}

	/**
	 * Looks at all groups and gives the orders that are due.
	 * @param sight what the node knows beside the targets
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	public void tick(Sight sight, Instant now, Effects effects) {
		this.severed.look(this.directory.all(), this.directory.changeCount(), now);
		this.lease.tick(new LeaseKeeper.StoreSight(sight.fed(), sight.storeAway()), now, effects);
		if (!this.lease.held(now) || sight.configuration().isEmpty()) {
			return;
		}
		if (this.term != this.lease.term()) {
			begin();
		}
		boolean first = this.settings.firstStart() && this.term == 1;
		if (!first && now.isBefore(this.lease.holdingSince().plus(FIRST_LOOK))) {
			return;
		}
		if (now.isBefore(this.planned.plus(PLAN_PAUSE_EACH_ENGINE.multipliedBy(this.directory.all().size())))) {
			return;
		}
		this.planned = now;
		this.lost.keepOnlyPresent();
		for (ServiceFigures service : sight.configuration().get().services().values()) {
			service.engines()
				.ifPresent((figures) -> groups(service.name()).control(figures, sight.activity(), now, effects));
		}
	}

	private ServiceGroups groups(ServiceName service) {
		return this.services.computeIfAbsent(service, (name) -> {
			ServiceGroups groups = ServiceGroups.of(name, new ServiceGroups.Surroundings(this.directory, this.orders,
					this.lost, this.vanished, this.severed, this.phase), this.settings);
			groups.beginTerm(this.term);
			return groups;
		});
	}

	private void begin() {
		this.term = this.lease.term();
		this.ledger.clear();
		this.services.values().forEach((service) -> service.beginTerm(this.term));
	}

	/**
	 * What a node knows beside the targets.
	 *
	 * @param configuration the configuration in force
	 * @param activity the load of groups
	 * @param fed whether another node reads the store for this one
	 * @param storeAway whether no node reaches the store
	 */
	public record Sight(Optional<Configuration> configuration, GroupActivity activity, boolean fed, boolean storeAway) {
	}

}
