package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.logic.dispatch.RetryShare;
import sycamorehill.logic.layout.GroupController;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.PlacementExplanation;

/**
 * Makes all decisions of an entry node: handles one event after the other and returns the
 * resulting effects. Time and random numbers are passed in, so that a sequence of events
 * can be replayed.
 */
public final class EntryReducer {

	/**
	 * How long a call may wait in the store for a change. A call that does not return in
	 * time shows a node that the store has stopped answering it.
	 */
	public static final Duration STORE_LONG_POLL_WAIT = StoreRelay.LONG_POLL_WAIT;

	/** Batches changes of targets and groups, which occur several times a second. */
	private static final Duration MINIMUM_READ_PAUSE = Duration.ofMillis(150);

	/**
	 * A change must take effect within 2 s; the rest is for the call itself and for one
	 * that fails.
	 */
	private static final Duration MAXIMUM_READ_PAUSE = Duration.ofMillis(1000);

	/**
	 * Number of workspaces that a node's load message names for each model. Callers are
	 * bound to nodes, so that a node has the requests of few workspaces.
	 */
	private static final int MAXIMUM_WORKSPACES_IN_LOADS = 8;

	/** Number of nodes up to which all may read at the minimum pause. */
	private static final int NODES_AT_MINIMUM_PAUSE = 9;

	private final TargetDirectory directory = TargetDirectory.create();

	private final RequestDispatcher requests;

	private final GroupController groups;

	private final PeerNodes peers;

	private final RegisteredNodes registeredNodes;

	private final RetryShares retryShares;

	private final ColdTargetShares coldTargetShares;

	private final CrashReportExchange crashReports;

	private final LoadAggregation loadAggregation;

	private final ConfigurationDistribution configurationDistribution;

	private final SilentTargets silentTargets;

	private final NodeStage stage;

	private final RequestEvents requestEvents;

	private final Evacuations evacuations;

	private final StoreRelay relay;

	private final StoreUpdateLog storeUpdateLog;

	private final DirectoryUpdates directoryUpdates;

	private final StoreUpdates storeUpdates;

	private final EntrySettings settings;

	private Optional<Configuration> configuration = Optional.empty();

	private int liveNodes = 1;

	private boolean ready;

	private EntryReducer(EntrySettings settings, String self, RandomGenerator random, Instant started) {
		this.settings = settings;
		this.stage = NodeStage.of(new StopTimes(settings.stopTime()));
		this.peers = PeerNodes.of(settings.toNodeRecord());
		this.registeredNodes = RegisteredNodes.of(settings.nodeName());
		this.retryShares = RetryShares.of(settings, this.registeredNodes);
		this.coldTargetShares = ColdTargetShares.of(this.registeredNodes);
		this.requests = RequestDispatcher.of(settings, this.directory, random);
		this.evacuations = Evacuations.of(settings, this.directory, this.requests);
		if (this.evacuations.isEnabled()) {
			this.stage.awaitEvacuations();
		}
		this.relay = StoreRelay.of(settings.nodeName(), settings.dataCentre(), this.peers::takesPrecedence,
				this.evacuations::isRecentlyRead);
		this.storeUpdateLog = StoreUpdateLog.of(settings.nodeName(), this.relay, this.directory);
		this.configurationDistribution = ConfigurationDistribution.of(settings.nodeName(), this.peers, this.relay);
		this.loadAggregation = LoadAggregation.of(settings.toNodeRecord(), this.peers, this.relay);
		this.crashReports = CrashReportExchange.of(settings.nodeName(), this.peers, this.requests, random);
		this.directoryUpdates = DirectoryUpdates.of(settings.nodeName(), this.directory, this.requests,
				this.storeUpdateLog);
		this.groups = GroupController.of(settings, this.directory, self, started);
		this.silentTargets = SilentTargets.of(settings.nodeName(), this.requests, this.groups, this.peers);
		this.requestEvents = RequestEvents.of(this.stage, this.requests, this.groups, this.directoryUpdates,
				this.silentTargets);
		this.storeUpdates = StoreUpdates.of(settings.nodeName(), this.peers, this.relay, this.storeUpdateLog,
				this.directoryUpdates, this.configurationDistribution, this.groups, this.evacuations);
	}

	/**
	 * Creates the reducer of a node that has read neither its configuration nor the
	 * targets.
	 * @param settings the node's settings
	 * @param self identifies this incarnation of the process among all others
	 * @param random the source of all random choices
	 * @param started the current time
	 * @return the reducer
	 */
	public static EntryReducer of(EntrySettings settings, String self, RandomGenerator random, Instant started) {
		return new EntryReducer(settings, self, random, started);
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the current time, which never decreases
	 * @return the effects to carry out, in order
	 */
	public List<EntryEffect> accept(EntryEvent event, Instant now) {
		Effects effects = Effects.create();
		if (!this.requestEvents.handle(event, now, effects) && !handleGroupEvent(event, now, effects)
				&& !handleEvacuationEvent(event, now, effects)) {
			handleNodeEvent(event, now, effects);
		}
		return resolveBroadcasts(effects.all());
	}

	// Replaces each broadcast by a message to the addresses of all peers.
	private List<EntryEffect> resolveBroadcasts(List<EntryEffect> unresolved) {
		if (unresolved.stream().noneMatch(EntryEffect.Broadcast.class::isInstance)) {
			return unresolved;
		}
		Effects effects = Effects.create();
		for (EntryEffect effect : unresolved) {
			if (effect instanceof EntryEffect.Broadcast broadcast) {
				this.peers.sendToAll(broadcast.message(), effects);
			}
			else {
				effects.add(effect);
			}
		}
		return effects.all();
	}

	private void handleMessage(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.SummedLoads added
				&& !this.loadAggregation.handleMessage(added, this.stage.isStopping(), now)) {
			return;
		}
		this.peers.handleMessage(message, now);
		handleIntroduction(message, now, effects);
		this.requests.handleMessage(message, now, effects);
		if (message instanceof NodeMessage.Loads loads) {
			this.loadAggregation.handleMessage(loads, now);
		}
		else if (!handleStoreMessage(message, now, effects)) {
			handleGroupMessage(message, now, effects);
		}
	}

	private void handleIntroduction(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.Introduction) {
			this.registeredNodes.handleIntroduction(message.sender(), now);
			updateRetryShare(now);
			this.peers.sendTo(message.sender(), new NodeMessage.IntroductionConfirmed(this.settings.nodeName()),
					effects);
			this.crashReports.tellNewNode(message.sender(), now, effects);
		}
		else if (message instanceof NodeMessage.IntroductionConfirmed) {
			this.registeredNodes.handleConfirmation(message.sender(), now);
		}
	}

	private boolean handleStoreMessage(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.StoreUpdate update) {
			if (this.storeUpdates.handleUpdate(update, nodeState(), now, effects)) {
				tick(now, effects);
			}
		}
		else if (message instanceof NodeMessage.ChangesRequest wanted) {
			this.storeUpdates.repeatChanges(wanted, now, effects);
		}
		else if (message instanceof NodeMessage.ConfigurationText received) {
			if (received.version() > configurationVersion()) {
				effects.add(new EntryEffect.ParseConfiguration(received.sender(), received.version(), received.text()));
			}
		}
		else if (message instanceof NodeMessage.ConfigurationRequest wanted) {
			this.configurationDistribution.sendAgain(wanted, configurationVersion(), effects);
		}
		else if (message instanceof NodeMessage.TargetLeaving leaving) {
			this.directoryUpdates.applyLeaving(leaving, now, effects);
		}
		else if (message instanceof NodeMessage.TargetsObserved observed) {
			this.directoryUpdates.applyObserved(observed.changes(), now, effects);
		}
		else {
			return false;
		}
		return true;
	}

	private void handleGroupMessage(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.Silence silence) {
			this.silentTargets.handleReport(silence, now, effects);
		}
		else if (message instanceof NodeMessage.SilenceConfirmed confirmed) {
			this.silentTargets.handleConfirmation(confirmed, now, effects);
		}
		else if (message instanceof NodeMessage.GroupEnded ended) {
			this.requests.handleGroupEnded(ended.head(), ended.group(), ended.epoch(), now, effects);
		}
		else if (message instanceof NodeMessage.LeaseReleased release) {
			this.groups.handleLeaseReleased(release.holder(), this.relay.receivesStoreUpdates(now), now);
		}
	}

	private StoreUpdates.NodeState nodeState() {
		return new StoreUpdates.NodeState(configurationVersion(), this.stage.isStopping());
	}

	private void sendLoads(Instant now, Effects effects) {
		NodeMessage.Loads loads = new NodeMessage.Loads(this.settings.nodeName(), this.settings.dataCentre(),
				this.directoryUpdates.isStoreReachable(), this.requests.inFlightByTarget(),
				this.requests.workspaceUse(now).bounded(MAXIMUM_WORKSPACES_IN_LOADS));
		this.loadAggregation.send(loads, this.stage.isStopping(), now, effects);
		this.liveNodes = this.peers.countLiveNodes(now);
		this.requests.updateNodes(this.liveNodes, this.peers.sharingNodes(now), now, effects);
		updateRetryShare(now);
	}

	private void updateRetryShare(Instant now) {
		this.requests.updateRetryShare(this.retryShares.share(now));
		this.requests.updateCountedNodes(this.coldTargetShares.countedNodes(now));
	}

	private boolean handleGroupEvent(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.CommandAnswered answered) {
			this.groups.handleCommandAnswer(answered.target(), answered.order(), answered.answer(), now, effects);
		}
		else if (event instanceof EntryEvent.ReportRead read) {
			this.groups.handleReport(read.target(), read.report(), now, effects);
		}
		else if (event instanceof EntryEvent.ReportFailed failed) {
			this.groups.handleReportFailure(failed.target(), failed.answer(),
					this.requests.paths().isInDoubt(failed.target(), now), now, effects);
		}
		else if (event instanceof EntryEvent.LeaseAnswered answered) {
			this.groups.handleLeaseAnswer(answered.answer(), now, effects);
		}
		else {
			return false;
		}
		tickGroups(now, effects);
		return true;
	}

	private boolean handleEvacuationEvent(EntryEvent event, Instant now, Effects effects) {
		boolean changed = false;
		if (event instanceof EntryEvent.EvacuationsListed all) {
			changed = this.evacuations.handleList(all.dataCentres(), all.revision(), now, effects);
		}
		else if (event instanceof EntryEvent.EvacuationsChanged read) {
			changed = this.evacuations.handleChanges(read.changes(), read.revision(), now, effects);
		}
		else if (event instanceof EntryEvent.EvacuationsUnreachable) {
			this.evacuations.recordReadFailure();
			return true;
		}
		else {
			return false;
		}
		this.relay.recordEvacuationsRead(now);
		if (changed) {
			this.storeUpdates.sendProgress(nodeState(), now, effects);
		}
		tick(now, effects);
		return true;
	}

	private void handleNodeEvent(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.ConfigurationRead read) {
			this.relay.recordConfigurationRead(read.revision(), now);
			applyConfiguration(read.configuration(), this.settings.nodeName(), now, effects);
		}
		else if (event instanceof EntryEvent.ConfigurationReceived received) {
			applyConfiguration(received.configuration(), received.source(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetsListed all) {
			this.stage.markTargetsListed();
			this.directoryUpdates.recordStoreContact(true, now, effects);
			this.relay.recordTargetList(all.revision(), now);
			this.directoryUpdates.replaceAll(all.entries(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetsChanged changed) {
			this.storeUpdates.handleChangesRead(changed, nodeState(), now, effects);
		}
		else if (event instanceof EntryEvent.DirectoryUnreachable) {
			this.relay.recordReadFailure();
			this.directoryUpdates.recordStoreContact(this.relay.receivesStoreUpdates(now), now, effects);
		}
		else if (event instanceof EntryEvent.NodesListed all) {
			handleNodeList(all, now);
		}
		else if (event instanceof EntryEvent.MessageReceived message) {
			handleMessage(message.message(), now, effects);
			return;
		}
		else if (event instanceof EntryEvent.SettingsRead read) {
			this.requests.updateSettings(read.settings());
			this.retryShares.updateSettings(read.settings());
			this.stage.updateStopTimes(new StopTimes(read.settings().stopTime()));
			effects.log(LogEvent.SETTINGS_RELOADED, "node=" + read.settings().nodeName());
		}
		else if (event instanceof EntryEvent.StopRequested) {
			this.stage.requestStop(now);
			this.retryShares.stop();
			this.coldTargetShares.stop();
			updateRetryShare(now);
			this.groups.stop(now, effects);
		}
		tick(now, effects);
	}

	private void handleNodeList(EntryEvent.NodesListed all, Instant now) {
		this.peers.updateNodes(all.nodes(), now);
		this.registeredNodes.handleList(all.nodes().stream().map(NodeRecord::name).collect(Collectors.toSet()), now);
	}

	// Nodes that started before this one did not find it in their lists.
	private void introduceIfDue(Instant now, Effects effects) {
		NodeMessage.Introduction introduction = new NodeMessage.Introduction(this.settings.toNodeRecord());
		this.registeredNodes.takeDueIntroductions(now)
			.forEach((node) -> this.peers.sendTo(node, introduction, effects));
	}

	private void tickGroups(Instant now, Effects effects) {
		boolean storeUnreachableForAll = !this.directoryUpdates.isStoreReachable()
				&& this.peers.isStoreUnreachableForAll(now);
		this.groups.tick(new GroupController.NodeStatus(this.configuration, this.requests::countRequests,
				this.relay.receivesStoreUpdates(now), storeUnreachableForAll, cutOffFor(now)), now, effects);
	}

	private Duration cutOffFor(Instant now) {
		return this.configuration.stream()
			.flatMap((current) -> current.services().values().stream())
			.filter((service) -> service.engines().isPresent())
			.map((service) -> this.requests.paths().cutOffFor(service.name(), now))
			.max(Comparator.naturalOrder())
			.orElse(Duration.ZERO);
	}

	private void tick(Instant now, Effects effects) {
		updateStage(now, effects);
		this.storeUpdateLog.logReaderChange(now, effects);
		this.directoryUpdates.dropMissing(now, effects);
		introduceIfDue(now, effects);
		this.requests.tick(now, effects);
		this.crashReports.tick(now, effects);
		this.requestEvents.releaseStartupRequests(now, effects);
		this.configurationDistribution.requestMissing(now, effects);
		tickGroups(now, effects);
		if (this.loadAggregation.isSendDue(this.stage.isStopping(), now)) {
			sendLoads(now, effects);
		}
		if (!this.stage.isStopping()) {
			this.configurationDistribution.sendPending(now, effects);
		}
		this.storeUpdates.sendProgressIfDue(nodeState(), now, effects);
		boolean readyNow = this.stage.isInitialized() && !this.stage.isStopping();
		if (readyNow != this.ready) {
			this.ready = readyNow;
			effects.add(new EntryEffect.SetReadiness(readyNow));
		}
	}

	private void updateStage(Instant now, Effects effects) {
		if (this.evacuations.isKnown()) {
			this.stage.markEvacuationsKnown();
		}
		else if (this.stage.stopAwaitingEvacuations(now)) {
			effects.log(LogEvent.STORE_CONTACT, "evacuations: not listed within "
					+ NodeStage.MAXIMUM_EVACUATIONS_WAIT.toMillis() + " ms; the node serves without them");
		}
	}

	// Versions only increase within one incarnation of the process, whatever the store
	// returns.
	private void applyConfiguration(Configuration read, String source, Instant now, Effects effects) {
		long version = this.configuration.map(Configuration::version).orElse(Long.MIN_VALUE);
		if (read.version() <= version) {
			if (read.version() < version) {
				effects.log(LogEvent.CONFIGURATION_PASSED_OVER, "version=" + read.version() + " in-force=" + version);
			}
			return;
		}
		boolean first = this.configuration.isEmpty();
		this.configuration = Optional.of(read);
		this.stage.markConfigured();
		this.relay.recordAppliedConfiguration(read.version());
		this.requests.adopt(read);
		effects.add(new EntryEffect.SetCallerLimits(read.limits()));
		effects.add(new EntryEffect.SetWorkspaces(read.workspacesByApiKey()));
		effects.add(new EntryEffect.RetainWorkspaceMetrics(read.workspaces()));
		effects.log(LogEvent.CONFIGURATION_IN_FORCE, "version=" + read.version() + " routes=" + read.routes().size()
				+ " told-by=" + source + " late-millis=" + this.configurationDistribution.timeBehind(now).toMillis());
		this.requests.homeRegions().logUnknownRegions(read, effects);
		this.configurationDistribution.recordApplied(read.version(), now);
		if (!this.stage.isStopping() && !first) {
			this.configurationDistribution.send(read.version(), now, effects);
		}
	}

	/**
	 * Returns the pause between two reads of the store that return changes. The reader
	 * and the node that controls the groups read often, because callers wait for the
	 * repair of groups. A node that receives no updates reads less often the more nodes
	 * there are, so that a large cluster reads about as often as a small one.
	 * @param now the current time
	 * @return the pause
	 */
	public Duration readPause(Instant now) {
		if (this.groups.controls(now) || this.relay.isReader(now)) {
			return MINIMUM_READ_PAUSE;
		}
		Duration proportional = MINIMUM_READ_PAUSE.multipliedBy(this.peers.countKnownNodes())
			.dividedBy(NODES_AT_MINIMUM_PAUSE);
		Duration pause = (proportional.compareTo(MINIMUM_READ_PAUSE) > 0) ? proportional : MINIMUM_READ_PAUSE;
		return (pause.compareTo(MAXIMUM_READ_PAUSE) < 0) ? pause : MAXIMUM_READ_PAUSE;
	}

	/**
	 * Returns whether another node reads the store for this one.
	 * @param now the current time
	 * @return true if this node need not read
	 */
	public boolean reliesOnReader(Instant now) {
		return this.relay.reliesOnReader(now);
	}

	/**
	 * Returns whether another node reads the evacuations for this one.
	 * @param now the current time
	 * @return true if this node need not read them
	 */
	public boolean receivesEvacuations(Instant now) {
		return reliesOnReader(now) && this.evacuations.areReceived(now);
	}

	/**
	 * Returns how long the next call for evacuations may wait in the store.
	 * @param now the current time
	 * @return the time
	 */
	public Duration evacuationsWait(Instant now) {
		return this.evacuations.longPollWait(now);
	}

	/**
	 * Returns the number of evacuated data centres that this node knows.
	 * @return the number
	 */
	public long evacuatedDataCentres() {
		return this.evacuations.count();
	}

	/**
	 * Returns whether a host is that of another node.
	 * @param host the host
	 * @return true if a known node receives messages there
	 */
	public boolean isNodeHost(String host) {
		return this.peers.isNodeHost(host);
	}

	/**
	 * Explains where a request would go now. Nothing is sent, and nothing changes.
	 * @param request the request
	 * @param now the current time
	 * @return the explanation
	 */
	public PlacementExplanation explain(CallerRequest request, Instant now) {
		return this.requests.explain(request, this.stage.takesRequests(now), now);
	}

	/**
	 * Returns the number of requests without a final answer.
	 * @return the number of requests
	 */
	public long activeRequests() {
		return this.requests.activeRequests();
	}

	/**
	 * Returns the number of targets that this node knows.
	 * @return the number of targets
	 */
	public long knownTargets() {
		return this.directory.all().size();
	}

	/**
	 * Returns the number of live nodes at the last count, including this one.
	 * @return the number of nodes
	 */
	public long liveNodes() {
		return this.liveNodes;
	}

	/**
	 * Returns the number of targets that are cold.
	 * @return the number of targets
	 */
	public long coldTargets() {
		return this.requests.countColdTargets();
	}

	/**
	 * Returns the number of targets in slow start.
	 * @return the number of targets
	 */
	public long slowStarts() {
		return this.requests.countSlowStarts();
	}

	/**
	 * Returns this node's share of the retries of all nodes.
	 * @return the share
	 */
	public RetryShare retryShare() {
		return this.requests.retryShare();
	}

	/**
	 * Returns the version of the configuration in effect.
	 * @return the version, 0 before the first configuration
	 */
	public long configurationVersion() {
		return this.configuration.map(Configuration::version).orElse(0L);
	}

	/**
	 * Returns whether the store answered the last call for targets, from this node or
	 * from the reader whose store updates it receives.
	 * @return true if it did
	 */
	public boolean isStoreReachable() {
		return this.directoryUpdates.isStoreReachable();
	}

}
