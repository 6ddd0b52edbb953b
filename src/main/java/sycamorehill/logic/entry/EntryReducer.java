package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.logic.layout.GroupController;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * All decisions of an entry node: takes one event after the other and says what is to be
 * done. Time and random numbers come from outside, so that a history can be played again.
 */
public final class EntryReducer {

	/**
	 * Time after the order to stop in which requests are still taken: the balancer asks
	 * each second and sends no new connections after two refusals.
	 */
	public static final Duration TAKES_REQUESTS_FOR = Duration.ofMillis(3000);

	/**
	 * How long a call may wait in the store for a change. One that does not end is how a
	 * node learns that the store has stopped answering it.
	 */
	public static final Duration STORE_WAIT = StoreRelay.READER_WAIT;

	/** Gathers changes of targets and groups, which come several times a second. */
	private static final Duration SHORTEST_READ_PAUSE = Duration.ofMillis(150);

	/**
	 * A change must be followed within 2 s; the rest is for the call itself and for one
	 * that fails.
	 */
	private static final Duration LONGEST_READ_PAUSE = Duration.ofMillis(1000);

	/** Nodes that may all read at the shortest pause. */
	private static final int NODES_READING_OFTEN = 9;

	private final TargetDirectory directory = TargetDirectory.create();

	private final RequestDispatcher requests;

	private final GroupController groups;

	private final Neighbours neighbours;

	private final LoadSums loadSums;

	private final ConfigurationTexts configurationTexts;

	private final SilenceReports silences = new SilenceReports();

	private final EarlyRequests early = new EarlyRequests();

	private final StoreRelay relay;

	private final NewsLog newsLog;

	private final EntrySettings settings;

	private Optional<Configuration> configuration = Optional.empty();

	private boolean reached = true;

	private int nodesLiving = 1;

	private boolean listed;

	private boolean introduced;

	private Instant stopOrdered;

	private boolean ready;

	private EntryReducer(EntrySettings settings, String self, RandomGenerator random, Instant started) {
		this.settings = settings;
		this.neighbours = Neighbours.of(settings.record());
		this.relay = StoreRelay.of(settings.nodeName(), settings.dataCentre(), this.neighbours::goesBefore);
		this.newsLog = NewsLog.of(settings.nodeName(), this.relay, this.directory);
		this.configurationTexts = ConfigurationTexts.of(settings.nodeName(), this.neighbours, this.relay);
		this.loadSums = LoadSums.of(settings.record(), this.neighbours, this.relay);
		this.requests = RequestDispatcher.of(settings, this.directory, random);
		this.groups = GroupController.of(settings, this.directory, self, started);
	}

	/**
	 * Creates the decisions of a node that knows nothing yet.
	 * @param settings the node's settings
	 * @param self names this process among all that ever ran
	 * @param random feeds all random choices
	 * @param started the present time
	 * @return the reducer
	 */
	public static EntryReducer of(EntrySettings settings, String self, RandomGenerator random, Instant started) {
		return new EntryReducer(settings, self, random, started);
	}

	/**
	 * Takes one event.
	 * @param event the event
	 * @param now the present time, which never goes back
	 * @return what is to be done, in this order
	 */
	public List<EntryEffect> accept(EntryEvent event, Instant now) {
		Effects effects = Effects.begin();
		if (!acceptRequest(event, now, effects) && !acceptGroup(event, now, effects)) {
			acceptSurroundings(event, now, effects);
		}
		return addressed(effects.all());
	}

	// Puts the addresses of all other nodes to what all are told.
	private List<EntryEffect> addressed(List<EntryEffect> wanted) {
		if (wanted.stream().noneMatch(EntryEffect.TellAll.class::isInstance)) {
			return wanted;
		}
		Effects effects = Effects.begin();
		for (EntryEffect effect : wanted) {
			if (effect instanceof EntryEffect.TellAll tell) {
				this.neighbours.tellAll(tell.message(), effects);
			}
			else {
				effects.add(effect);
			}
		}
		return effects.all();
	}

	// A request that comes late in a planned stop could be cut off when the process ends:
	// answers take up to 4 s, and the caller can be served by another node at once.
	private void arrived(CallerRequest request, Instant now, Effects effects) {
		if (this.stopOrdered != null && now.isAfter(this.stopOrdered.plus(TAKES_REQUESTS_FOR))) {
			this.requests.refuseStopping(request, effects);
			return;
		}
		boolean mayWait = !knowsAll() && this.reached;
		if (!mayWait || !this.early.add(request, now)) {
			this.requests.handleRequest(request, now, now, effects);
		}
	}

	private boolean knowsAll() {
		return this.configuration.isPresent() && this.listed;
	}

	private void takeEarly(Instant now, Effects effects) {
		for (EarlyRequests.Early each : this.early.take(knowsAll() || !this.reached, now)) {
			this.requests.handleRequest(each.request(), each.since(), now, effects);
		}
	}

	private void heard(NodeMessage message, Instant now, Effects effects) {
		if (message instanceof NodeMessage.LoadsAdded added
				&& !this.loadSums.heard(added, this.stopOrdered != null, now)) {
			return;
		}
		this.neighbours.heard(message, now);
		this.requests.handleMessage(message, now, effects);
		if (message instanceof NodeMessage.Loads loads) {
			this.loadSums.heard(loads, now);
			return;
		}
		if (message instanceof NodeMessage.Silence silence) {
			this.groups.checkMembers(silence.target(), now, effects);
			reported(silence.sender(), silence.target(), now, effects);
		}
		else if (message instanceof NodeMessage.SilenceConfirmed confirmed) {
			this.requests.handleReportedSilence(confirmed.target(), now, effects);
		}
		else if (message instanceof NodeMessage.GroupEnded ended) {
			this.requests.handleGroupEnded(ended.head(), ended.group(), ended.epoch(), now, effects);
		}
		else if (message instanceof NodeMessage.StoreNews news) {
			heardNews(news, now, effects);
		}
		else if (message instanceof NodeMessage.ConfigurationTold told && told.version() > configurationVersion()) {
			effects.add(new EntryEffect.TakeConfiguration(told.text()));
		}
		else if (message instanceof NodeMessage.TargetsSeen seen && !this.reached) {
			forget(this.directory.apply(seen.changes(), now), effects);
		}
		else if (message instanceof NodeMessage.LeaseGivenUp given) {
			this.groups.handleLeaseReleased(given.holder(), this.relay.fed(now), now);
		}
	}

	private void heardNews(NodeMessage.StoreNews news, Instant now, Effects effects) {
		StoreRelay.Consequence consequence = this.relay.heard(news, now);
		if (!consequence.fed()) {
			return;
		}
		this.newsLog.reader(now, effects);
		contact(true, now, effects);
		news.lease().ifPresent((lease) -> this.groups.handleLeaseUpdate(lease, now, effects));
		if (consequence.apply()) {
			this.newsLog.leaving(news.changes(), now, effects);
			forget(this.directory.apply(news.changes(), now), effects);
			tick(now, effects);
		}
		if (this.stopOrdered == null) {
			consequence.passOn().ifPresent((passed) -> this.neighbours.tellNear(passed, effects));
		}
		effects.add(new EntryEffect.TargetsKnown(this.relay.revision()));
		if (consequence.readTargets()) {
			effects.add(new EntryEffect.ReadTargets());
		}
		if (consequence.readConfiguration()) {
			this.configurationTexts.await(news.configurationVersion(), now, effects);
		}
	}

	private void tellNews(NodeMessage.StoreNews news, Instant now, Effects effects) {
		NodeMessage.StoreNews whole = news.with(this.groups.lease());
		this.relay.told(now);
		this.neighbours.tellNear(whole, effects);
		if (this.relay.reads(now)) {
			this.neighbours.tellRelays(whole, now, effects);
		}
	}

	private void reported(String node, TargetName target, Instant now, Effects effects) {
		if (this.groups.controls(now) && this.silences.confirms(node, target, now)) {
			effects.add(new EntryEffect.TellAll(new NodeMessage.SilenceConfirmed(this.settings.nodeName(), target)));
			this.requests.handleReportedSilence(target, now, effects);
		}
	}

	private void silent(TargetName target, Instant now, Effects effects) {
		this.requests.handleSilentTarget(target, now, effects);
		this.groups.checkMembers(target, now, effects);
		reported(this.settings.nodeName(), target, now, effects);
		this.groups.controller()
			.ifPresent((node) -> this.neighbours.tell(node, new NodeMessage.Silence(this.settings.nodeName(), target),
					effects));
	}

	private void tellLoads(Instant now, Effects effects) {
		NodeMessage.Loads loads = new NodeMessage.Loads(this.settings.nodeName(), this.settings.dataCentre(),
				this.reached, this.requests.inFlightByTarget());
		this.loadSums.tell(loads, this.stopOrdered != null, now, effects);
		this.nodesLiving = this.neighbours.living(now);
		this.requests.updateNodes(this.nodesLiving, this.neighbours.sharing(now), now, effects);
	}

	private boolean acceptRequest(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.RequestArrived arrived) {
			this.groups.recordTraffic(now);
			arrived(arrived.request(), now, effects);
		}
		else if (event instanceof EntryEvent.AnswerBegun begun) {
			this.requests.handleFirstEvent(begun.number(), now);
		}
		else if (event instanceof EntryEvent.AttemptEnded ended) {
			this.requests.handleAttemptEnd(ended.number(), ended.attempt(), ended.end(), now, effects);
		}
		else if (event instanceof EntryEvent.CallerGone gone) {
			this.early.remove(gone.number());
			this.requests.handleCallerDisconnected(gone.number(), now, effects);
		}
		else if (event instanceof EntryEvent.TimedOut timedOut) {
			this.requests.handleTimeout(timedOut.number(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetTold told) {
			this.requests.handleTargetReport(told, now, effects);
		}
		else if (event instanceof EntryEvent.TargetSilent silent) {
			silent(silent.target(), now, effects);
		}
		else {
			return false;
		}
		return true;
	}

	private boolean acceptGroup(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.OrderAnswered answered) {
			this.groups.handleCommandAnswer(answered.target(), answered.order(), answered.answer(), now, effects);
		}
		else if (event instanceof EntryEvent.ReportRead read) {
			this.groups.handleReport(read.target(), read.report(), now, effects);
		}
		else if (event instanceof EntryEvent.ReportFailed failed) {
			this.groups.handleReportFailure(failed.target(), failed.answer(), now, effects);
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

	private void acceptSurroundings(EntryEvent event, Instant now, Effects effects) {
		if (event instanceof EntryEvent.ConfigurationRead read) {
			this.relay.configurationAnswered(now);
			adopt(read.configuration(), now, effects);
		}
		else if (event instanceof EntryEvent.ConfigurationHeard heard) {
			adopt(heard.configuration(), now, effects);
		}
		else if (event instanceof EntryEvent.TargetsListed all) {
			this.listed = true;
			contact(true, now, effects);
			this.relay.listed(all.revision(), now);
			this.newsLog.leaving(
					all.entries().stream().map((entry) -> new TargetChange(entry.name(), Optional.of(entry))).toList(),
					now, effects);
			forget(this.directory.replaceAll(all.entries(), now), effects);
		}
		else if (event instanceof EntryEvent.TargetsChanged changed) {
			changed(changed, now, effects);
		}
		else if (event instanceof EntryEvent.DirectoryNotReached) {
			this.relay.failed();
			contact(this.relay.fed(now), now, effects);
		}
		else if (event instanceof EntryEvent.NodesListed all) {
			listed(all, now, effects);
		}
		else if (event instanceof EntryEvent.MessageHeard message) {
			heard(message.message(), now, effects);
			return;
		}
		else if (event instanceof EntryEvent.SettingsRead read) {
			this.requests.updateSettings(read.settings());
			effects.log(LogEvent.SETTINGS_RELOADED, "node=" + read.settings().nodeName());
		}
		else if (event instanceof EntryEvent.StopOrdered) {
			this.stopOrdered = now;
			this.groups.stop(effects);
		}
		tick(now, effects);
	}

	// Nodes that started before this one did not find it in their lists.
	private void listed(EntryEvent.NodesListed all, Instant now, Effects effects) {
		this.neighbours.listed(all.nodes(), now);
		if (!this.introduced) {
			this.introduced = true;
			effects.add(new EntryEffect.TellAll(new NodeMessage.Introduction(this.settings.record())));
		}
	}

	private void changed(EntryEvent.TargetsChanged changed, Instant now, Effects effects) {
		contact(true, now, effects);
		NodeMessage.StoreNews news = this.relay
			.read(new StoreRelay.Page(changed.since(), changed.revision(), changed.changes()), now);
		boolean leads = this.relay.reads(now) || this.relay.passesOn(now);
		if (!changed.changes().isEmpty() && leads && this.stopOrdered == null) {
			tellNews(news, now, effects);
		}
		this.newsLog.leaving(changed.changes(), now, effects);
		forget(this.directory.apply(changed.changes(), now), effects);
	}

	private void tickGroups(Instant now, Effects effects) {
		boolean away = !this.reached && this.neighbours.storeAwayForAll(now);
		this.groups.tick(
				new GroupController.NodeStatus(this.configuration, this.requests::countRequests, this.relay.fed(now), away),
				now, effects);
	}

	private void tick(Instant now, Effects effects) {
		this.newsLog.reader(now, effects);
		forget(this.directory.dropMissing(now), effects);
		takeEarly(now, effects);
		tickGroups(now, effects);
		if (this.loadSums.due(this.stopOrdered != null, now)) {
			tellLoads(now, effects);
		}
		if (this.stopOrdered == null) {
			this.configurationTexts.look(now, effects);
		}
		if (this.relay.newsDue(now) && this.stopOrdered == null) {
			tellNews(this.relay.progress(now), now, effects);
		}
		boolean nowReady = knowsAll() && this.stopOrdered == null;
		if (nowReady != this.ready) {
			this.ready = nowReady;
			effects.add(new EntryEffect.Ready(nowReady));
		}
	}

	// Versions only go up within one life of the process, whatever the store shows.
	private void adopt(Configuration read, Instant now, Effects effects) {
		long version = this.configuration.map(Configuration::version).orElse(Long.MIN_VALUE);
		if (read.version() <= version) {
			if (read.version() < version) {
				effects.log(LogEvent.CONFIGURATION_PASSED_OVER, "version=" + read.version() + " in-force=" + version);
			}
			return;
		}
		boolean first = this.configuration.isEmpty();
		this.configuration = Optional.of(read);
		this.relay.inForce(read.version());
		this.requests.adopt(read);
		effects.add(new EntryEffect.LimitCallers(read.limits()));
		effects.log(LogEvent.CONFIGURATION_IN_FORCE, "version=" + read.version() + " routes=" + read.routes().size());
		if (this.stopOrdered == null && !first) {
			this.configurationTexts.tell(read.version(), now, effects);
		}
	}

	private void contact(boolean answered, Instant now, Effects effects) {
		if (answered != this.reached) {
			effects.log(LogEvent.STORE_CONTACT, answered ? "back" : "lost");
			this.reached = answered;
		}
		this.directory.contact(answered, now);
	}

	private void forget(List<TargetEntry> ended, Effects effects) {
		for (TargetEntry entry : ended) {
			effects.add(new EntryEffect.ForgetTarget(new TargetAddress(entry.name(), entry.address())));
			effects.log(LogEvent.TARGET_CHANGED, "target=" + entry.name() + " ended address=" + entry.address());
			this.requests.forget(entry.name());
		}
	}

	/**
	 * Pause between two reads of the store that bring changes. A node that reads for
	 * others reads often, because callers wait for the repair of groups; one that is told
	 * nothing reads less often the more nodes there are, so that all together read about
	 * as often as few do.
	 * @param now the present time
	 * @return the pause
	 */
	public Duration readPause(Instant now) {
		if (this.groups.controls(now) || this.relay.reads(now)) {
			return SHORTEST_READ_PAUSE;
		}
		Duration shared = SHORTEST_READ_PAUSE.multipliedBy(this.neighbours.known()).dividedBy(NODES_READING_OFTEN);
		Duration pause = (shared.compareTo(SHORTEST_READ_PAUSE) > 0) ? shared : SHORTEST_READ_PAUSE;
		return (pause.compareTo(LONGEST_READ_PAUSE) < 0) ? pause : LONGEST_READ_PAUSE;
	}

	/**
	 * Whether another node reads the store for this one.
	 * @param now the present time
	 * @return true if this node need not read
	 */
	public boolean fed(Instant now) {
		return this.relay.fed(now);
	}

	/**
	 * Counts the requests without a final answer.
	 * @return the number of requests
	 */
	public long requestsActive() {
		return this.requests.activeRequests();
	}

	/**
	 * Counts the targets that this node believes in.
	 * @return the number of targets
	 */
	public long targetsKnown() {
		return this.directory.all().size();
	}

	/**
	 * Counts the nodes that were heard lately, this one with them.
	 * @return the number of nodes
	 */
	public long nodesLiving() {
		return this.nodesLiving;
	}

	/**
	 * The version of the configuration in force.
	 * @return the version, 0 before there is one
	 */
	public long configurationVersion() {
		return this.configuration.map(Configuration::version).orElse(0L);
	}

	/**
	 * Whether the store answered the last call for targets.
	 * @return true if it did
	 */
	public boolean storeReached() {
		return this.reached;
	}

}
