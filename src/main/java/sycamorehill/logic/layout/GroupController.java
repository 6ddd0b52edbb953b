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
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;

/**
 * Controls the groups of engines of all services while this node holds the lease.
 */
public final class GroupController {

	/**
	 * Time that a new controller waits before it sends commands, so that the directory
	 * lists what the previous controller began.
	 */
	private static final Duration INITIAL_OBSERVATION_TIME = Duration.ofMillis(400);

	/**
	 * Minimum interval between two plans, per engine. A plan takes longer the more
	 * engines there are, and every answer of an engine would trigger one.
	 */
	private static final Duration PLAN_INTERVAL_PER_ENGINE = Duration.ofNanos(100_000);

	private final EntrySettings settings;

	private final TargetDirectory directory;

	private final GroupLeaseManager lease;

	private final EngineCommandTracker commandTracker = EngineCommandTracker.create();

	private final EngineCommandSender commandSender = EngineCommandSender.of(this.commandTracker);

	private final VanishedMembers vanished;

	private final UnreachableEngines unreachable;

	private final UnresponsiveEngines unresponsive;

	/** Engines that could not be connected once; a single packet may have been lost. */
	private final UnresponsiveEngines unconnected;

	private final StartupPhase phase;

	private final DetachedMembers detached;

	private final Map<ServiceName, ServiceGroups> services = new HashMap<>();

	private long term;

	private Instant lastPlanned = Instant.MIN;

	private GroupController(EntrySettings settings, TargetDirectory directory, String ownIdentity, Instant started) {
		this.settings = settings;
		this.directory = directory;
		this.lease = GroupLeaseManager.of(ownIdentity, settings.loadWindow());
		this.vanished = VanishedMembers.of(directory, this.commandSender);
		this.unreachable = UnreachableEngines.of(directory, this.vanished);
		this.unresponsive = UnresponsiveEngines.of(directory, settings.stallTime());
		this.unconnected = UnresponsiveEngines.of(directory, Duration.ZERO);
		this.phase = StartupPhase.of(settings, started);
		this.detached = DetachedMembers.of(settings.stallTime(), settings.firstStart());
	}

	/**
	 * Creates a controller, which waits for the lease.
	 * @param settings the settings of the node
	 * @param directory the directory of targets
	 * @param ownIdentity the name of this process in the lease
	 * @param started the start time of the process
	 * @return the controller
	 */
	public static GroupController of(EntrySettings settings, TargetDirectory directory, String ownIdentity,
			Instant started) {
		return new GroupController(settings, directory, ownIdentity, started);
	}

	/**
	 * Records that callers send requests. From then on, loads are slow and their number
	 * is limited.
	 * @param now the current time
	 */
	public void recordTraffic(Instant now) {
		this.phase.recordTraffic(now);
	}

	/**
	 * Handles the store's answer to a call about the lease.
	 * @param answer the answer
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleLeaseAnswer(LeaseAnswer answer, Instant now, Effects effects) {
		this.lease.handleAnswer(answer, now, effects);
	}

	/**
	 * Handles the lease as read by the node that reads the store.
	 * @param lease the lease
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleLeaseUpdate(Lease lease, Instant now, Effects effects) {
		this.lease.handleUpdate(lease, now, effects);
	}

	/**
	 * Returns the lease as last seen.
	 * @return the lease; empty if none was seen
	 */
	public Optional<Lease> lease() {
		return this.lease.lastLease();
	}

	/**
	 * Releases the lease, so that another node takes over the control.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void stop(Instant now, Effects effects) {
		this.lease.release(now, effects);
	}

	/**
	 * Handles the release of the lease by another process.
	 * @param holder the name of the process in the lease
	 * @param receivesStoreUpdates whether another node reads the store for this one
	 * @param now the current time
	 */
	public void handleLeaseReleased(String holder, boolean receivesStoreUpdates, Instant now) {
		this.lease.handleReleased(holder, receivesStoreUpdates, now);
	}

	/**
	 * Handles an engine's answer to a command.
	 * @param engine the engine
	 * @param command the command
	 * @param answer the answer
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleCommandAnswer(TargetName engine, EngineCommandRequest command, EngineCommandAnswer answer,
			Instant now, Effects effects) {
		effects.log(LogEvent.ENGINE_ORDER, "engine=" + engine + " order=" + command + " answer=" + answer);
		switch (answer) {
			case BEGUN -> this.commandTracker.recordAccepted(engine, command, now);
			case HOLDS_ALREADY -> this.commandTracker.recordAlreadyInEffect(engine);
			default -> this.commandTracker.recordFailure(engine, now);
		}
		for (ServiceGroups service : this.services.values()) {
			service.handleCommandAnswer(engine, command, answer, now)
				.ifPresent((end) -> effects.add(new EntryEffect.Broadcast(
						new NodeMessage.GroupEnded(this.settings.nodeName(), end.head(), end.group(), end.epoch()))));
		}
	}

	/**
	 * Handles an engine's report.
	 * @param engine the engine
	 * @param report the report
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleReport(TargetName engine, EngineReport report, Instant now, Effects effects) {
		this.directory.applyReport(engine, report)
			.ifPresent((change) -> effects.add(new EntryEffect.Broadcast(
					new NodeMessage.TargetsObserved(this.settings.nodeName(), List.of(change)))));
		long startMillis = this.directory.find(engine).map(TargetEntry::startMillis).orElse(0L);
		this.commandTracker.recordReport(engine, startMillis, report.acceptedCommands(), report.membership(), now);
		this.unreachable.recordReached(engine, now);
		this.unresponsive.forget(engine);
		this.unconnected.forget(engine);
		this.vanished.handleReport(engine, report);
		report.membership()
			.ifPresent((membership) -> this.services.values()
				.forEach((service) -> service.handleReport(engine, membership)));
	}

	/**
	 * Requests the reports of all members of a group whose answers have all stalled. A
	 * member that cannot be connected twice counts as lost, one that doesn't answer only
	 * after the stall time.
	 * @param head the head of the group
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void checkMembers(TargetName head, Instant now, Effects effects) {
		Optional<Membership> membership = this.directory.find(head).flatMap(TargetEntry::membership);
		if (!this.lease.isHeld(now) || membership.isEmpty()) {
			return;
		}
		for (TargetEntry entry : this.directory.all()) {
			boolean member = entry.isMemberOf(membership.get().group(), membership.get().epoch());
			if (member && this.commandSender.isFree(entry, now)) {
				this.commandSender.requestReport(entry, now, effects);
			}
		}
		for (TargetEntry entry : this.directory.vanished()) {
			if (entry.isMemberOf(membership.get().group(), membership.get().epoch())) {
				this.vanished.suspect(entry, now);
				this.commandSender.requestReport(entry, now, effects);
			}
		}
	}

	/**
	 * Returns whether this node controls the groups.
	 * @param now the current time
	 * @return true while it certainly does
	 */
	public boolean controls(Instant now) {
		return this.lease.isHeld(now);
	}

	/**
	 * Returns the node that controls the groups.
	 * @return the name of the node; empty if it is not known
	 */
	public Optional<String> controller() {
		return this.lease.holder();
	}

	/**
	 * Handles a failure to read an engine's report. It shows nothing about the engine
	 * while the path to all engines may be broken.
	 * @param engine the engine
	 * @param answer the outcome of the call
	 * @param pathInDoubt whether the failure may be that of this node's path
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleReportFailure(TargetName engine, EngineCommandAnswer answer, boolean pathInDoubt, Instant now,
			Effects effects) {
		this.commandTracker.recordFailure(engine, now);
		if (pathInDoubt) {
			this.unconnected.forget(engine);
			return;
		}
		this.directory.findVanished(engine)
			.filter(this.unresponsive::contains)
			.ifPresent((entry) -> this.vanished.suspect(entry, now));
		this.vanished.handleReportFailure(engine, now);
		this.directory.find(engine).ifPresent((entry) -> {
			if (answer == EngineCommandAnswer.NOT_KNOWN && !this.unreachable.contains(entry)) {
				handleUnanswered(entry, now, effects);
			}
			else if (answer == EngineCommandAnswer.NOT_CONNECTED && !this.unreachable.contains(entry)
					&& this.unconnected.recordUnanswered(entry, now)) {
				this.commandSender.requestReport(entry, now, effects);
			}
			else {
				recordLost(entry, answer, now, effects);
			}
		});
	}

	// The call may have been sent on a connection that no longer leads anywhere. The next
	// one takes a new connection.
	private void handleUnanswered(TargetEntry engine, Instant now, Effects effects) {
		if (this.unresponsive.recordUnanswered(engine, now)) {
			effects.log(LogEvent.TARGET_CHANGED, "engine=" + engine.name() + " doesn't answer");
			effects.add(new EntryEffect.CloseTargetConnections(new TargetAddress(engine.name(), engine.address())));
			this.commandSender.requestReport(engine, now, effects);
		}
		else if (this.unresponsive.isLost(engine, now)) {
			recordLost(engine, EngineCommandAnswer.NOT_KNOWN, now, effects);
		}
	}

	private void recordLost(TargetEntry engine, EngineCommandAnswer answer, Instant now, Effects effects) {
		this.unresponsive.forget(engine.name());
		this.unconnected.forget(engine.name());
		this.unreachable.add(engine, now);
		effects.log(LogEvent.TARGET_CHANGED, "engine=" + engine.name() + " lost: its report can't be read: " + answer);
	}

	/**
	 * Checks all groups and sends the commands that are due.
	 * @param status the state of the node besides its targets
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void tick(NodeStatus status, Instant now, Effects effects) {
		this.detached.update(this.directory.all(), this.directory.changeCount(), now);
		this.lease.tick(new GroupLeaseManager.StoreStatus(status.receivesStoreUpdates(), status.storeUnreachable()),
				status.cutOffFor(), now, effects);
		if (!this.lease.isHeld(now) || status.configuration().isEmpty() || !status.cutOffFor().isZero()) {
			return;
		}
		if (this.term != this.lease.term()) {
			startTerm();
		}
		boolean firstTerm = this.settings.firstStart() && this.term == 1;
		if (!firstTerm && now.isBefore(this.lease.holdingSince().plus(INITIAL_OBSERVATION_TIME))) {
			return;
		}
		if (now.isBefore(this.lastPlanned.plus(PLAN_INTERVAL_PER_ENGINE.multipliedBy(this.directory.all().size())))) {
			return;
		}
		this.lastPlanned = now;
		this.unreachable.keepOnlyPresent();
		this.unresponsive.keepOnlyKnown();
		this.unconnected.keepOnlyKnown();
		for (ServiceParameters service : status.configuration().get().services().values()) {
			service.engines()
				.ifPresent((parameters) -> groupsOf(service.name()).control(parameters, status.groupActivity(), now,
						effects));
		}
	}

	private ServiceGroups groupsOf(ServiceName service) {
		return this.services.computeIfAbsent(service, (name) -> {
			ServiceGroups groups = ServiceGroups.of(name, new ServiceGroups.SharedState(this.directory,
					this.commandSender, this.unreachable, this.unresponsive, this.vanished, this.detached, this.phase),
					this.settings);
			groups.startTerm(this.term, this.lease.recentTerms());
			return groups;
		});
	}

	private void startTerm() {
		this.term = this.lease.term();
		this.commandTracker.clear();
		this.services.values().forEach((service) -> service.startTerm(this.term, this.lease.recentTerms()));
	}

	/**
	 * The state of a node besides its targets.
	 *
	 * @param configuration the configuration in effect
	 * @param groupActivity provides the number of requests of each group
	 * @param receivesStoreUpdates whether another node reads the store for this one
	 * @param storeUnreachable whether no node reaches the store
	 * @param cutOffFor how long this node has reached no engine of a service that another
	 * node reaches; zero if it reaches all
	 */
	public record NodeStatus(Optional<Configuration> configuration, GroupActivity groupActivity,
			boolean receivesStoreUpdates, boolean storeUnreachable, Duration cutOffFor) {
	}

}
