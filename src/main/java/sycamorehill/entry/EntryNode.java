package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;

import sycamorehill.logic.entry.EntryReducer;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.runtime.EventLog;
import sycamorehill.runtime.MonotonicClock;

/**
 * Process of an entry VM. One thread performs all input and output and makes the
 * decisions: small VMs have less than one processor, and events need no hand-over to a
 * second thread.
 */
public final class EntryNode implements EntryEventSink {

	private static final String METRICS_PATH = "/metrics";

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	/** Time allowed for the loop to list the requests in flight when the process ends. */
	private static final Duration LIST_REQUESTS_TIMEOUT = Duration.ofMillis(150);

	/** Time after which a caller may retry a request that this node failed to handle. */
	private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(300);

	/** Pause between two reads of evacuations if the first one returned some. */
	private static final Duration PAUSE_AFTER_EVACUATION = Duration.ofMillis(50);

	/**
	 * A timer that is due later than now runs after the event loop has read once more.
	 */
	private static final Duration READ_PASS_DELAY = Duration.ofMillis(1);

	private final EntrySettings settings;

	private final String incarnation;

	private final InstantSource clock;

	private final EntryReducer reducer;

	private final EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("entry")).next();

	private final EntryPorts ports;

	private final ExchangeRegistry exchanges = ExchangeRegistry.create();

	private final CallerServer callerServer;

	private final ProxyServer proxyServer;

	private final ExchangeEffects exchangeEffects;

	private final TargetConnectionPool targetConnections;

	private final ProxyConnectionPool proxyConnections;

	private final StreamMonitor streamMonitor;

	private final PageServer readinessServer;

	private final PageServer metricsServer;

	private final EntryMetrics metrics;

	private final PlacementPage placementPage;

	private final LoopGuard guard;

	private final WaitingConfiguration waitingConfiguration;

	private boolean ready;

	private final NodeMessenger messenger;

	private FeedReader<StoredConfiguration> configurationReader;

	private FeedReader<TargetChange> targetReader;

	private Optional<FeedReader<EvacuationChange>> evacuationReader = Optional.empty();

	private StoredConfiguration latestConfiguration;

	private final NodeRegistration registration;

	private final PlannedStop plannedStop;

	private EntryNode(EntrySettings settings, EntryPorts.Factory factory, InstantSource wallClock,
			RandomGenerator random) {
		this.settings = settings;
		this.clock = MonotonicClock.start(wallClock);
		this.incarnation = settings.nodeName() + '#' + Long.toHexString(random.nextLong());
		this.reducer = EntryReducer.of(settings, this.incarnation, random, this.clock.instant());
		this.ports = factory.create(CallClient.of(TargetConnectionPool.of(this.loop)));
		this.targetConnections = TargetConnectionPool.of(this.loop);
		this.proxyConnections = ProxyConnectionPool.of(this.loop);
		this.streamMonitor = StreamMonitor.of(this, System::nanoTime, (task) -> schedule(task, READ_PASS_DELAY));
		this.exchangeEffects = ExchangeEffects.of(this.exchanges, this.targetConnections, this.proxyConnections,
				this.streamMonitor, this.ports.codec(), this);
		this.guard = LoopGuard.of(this.clock, this::stopAfterErrors);
		this.waitingConfiguration = WaitingConfiguration.of(this.loop, (parse) -> this.guard.run(LogEvent.EFFECT_FAILED,
				"parsing a configuration", () -> parseConfiguration(parse)));
		this.metrics = EntryMetrics.of(this.reducer, this.guard);
		this.placementPage = PlacementPage.of((request) -> this.reducer.explain(request, this.clock.instant()));
		AnswerCutLog cutLog = AnswerCutLog.of(this.metrics);
		CallerConnectionLimit connectionLimit = CallerConnectionLimit.of(settings.maximumDescriptors(),
				System::nanoTime);
		this.callerServer = CallerServer.of(this.loop, this.ports.codec(), this, this.exchanges, cutLog,
				connectionLimit);
		this.metrics.gauge("targets.unmatched-answers", this.targetConnections.unmatchedAnswers()::count);
		this.metrics.gauge("callers.connections", this.callerServer::connections);
		this.metrics.gauge("callers.connections-closed-unread", connectionLimit::unread);
		this.proxyServer = ProxyServer.of(this.loop, this.exchanges, this, this.reducer::isNodeHost, cutLog);
		this.messenger = NodeMessenger.of(this.loop, this);
		this.registration = NodeRegistration.of(this.ports.nodeRegistry(), settings.toNodeRecord(), this.incarnation,
				this.loop, (nodes) -> processEvent(new EntryEvent.NodesListed(nodes)));
		this.plannedStop = PlannedStop.of(this.loop, this.clock, settings, this.callerServer, this.proxyServer,
				this.exchanges, this.metrics, this.guard);
		this.readinessServer = PageServer.of(this.loop, this::readinessPage);
		this.metricsServer = PageServer.of(this.loop, this::metricsPage);
	}

	/**
	 * Starts the node.
	 * @param settings the settings of the node
	 * @param factory creates the external services
	 * @param wallClock the wall clock
	 * @param random the source of all random choices
	 * @return the started node
	 * @throws InterruptedException if the thread is interrupted while it binds addresses
	 */
	public static EntryNode start(EntrySettings settings, EntryPorts.Factory factory, InstantSource wallClock,
			RandomGenerator random) throws InterruptedException {
		EntryNode node = new EntryNode(settings, factory, wallClock, random);
		node.start();
		return node;
	}

	private void start() throws InterruptedException {
		EventLog.write(LogLine.of(LogEvent.NODE_STARTED,
				"node=" + this.settings.nodeName() + " incarnation=" + this.incarnation + " callers="
						+ this.settings.callerAddress() + " store=" + this.settings.storeAddress()));
		this.configurationReader = FeedReader.of(() -> readPace(EntryReducer.STORE_LONG_POLL_WAIT), "configuration",
				this.ports.configurations(), this.loop, new ConfigurationListener());
		this.targetReader = FeedReader.of(() -> readPace(EntryReducer.STORE_LONG_POLL_WAIT), "targets",
				this.ports.targets(), this.loop, new TargetListener());
		this.evacuationReader = this.ports.evacuations()
			.map((feed) -> FeedReader.of(this::evacuationPace, "evacuations", feed, this.loop,
					new EvacuationListener()));
		this.loop.terminationFuture().addListener((ended) -> handleLoopEnd());
		this.messenger.start(this.settings.peerAddress());
		this.registration.start();
		this.configurationReader.start();
		this.targetReader.start();
		this.evacuationReader.ifPresent(FeedReader::start);
		this.loop.scheduleAtFixedRate(this::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.proxyServer.start(this.settings.proxyAddress());
		this.callerServer.start(this.settings.callerAddress());
		this.metricsServer.start(this.settings.peerAddress());
		this.readinessServer.start(this.settings.readinessAddress());
	}

	// Runs all periodic checks in one task, because each further timer would wake the
	// process several more times a second.
	private void tick() {
		this.guard.runPeriodicStep(() -> step(new EntryEvent.Ticked()));
		List<Runnable> checks = List.of(this.targetConnections::closeExpired, this.proxyConnections::closeExpired,
				this.proxyServer::closeExpired, this.streamMonitor::check, this.configurationReader::resumeIfNeeded,
				this.targetReader::resumeIfNeeded, () -> this.evacuationReader.ifPresent(FeedReader::resumeIfNeeded));
		checks.forEach((check) -> this.guard.run(LogEvent.INVARIANT_BROKEN, "periodic checks", check));
	}

	private void stopAfterErrors() {
		this.ready = false;
		stop();
	}

	private PageServer.Page readinessPage(String path, HttpHeaders headers) {
		if (!path.equals(this.ports.codec().readinessPath())) {
			return PageServer.Page.NOT_FOUND;
		}
		return PageServer.Page.empty(this.ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

	private PageServer.Page metricsPage(String uri, HttpHeaders headers) {
		if (PlacementPage.isAskedFor(uri)) {
			return this.placementPage.read(uri, headers);
		}
		return uri.equals(METRICS_PATH) ? this.metrics.page() : PageServer.Page.NOT_FOUND;
	}

	private FeedReader.Pace readPace(Duration maximumWait) {
		Instant now = this.clock.instant();
		return new FeedReader.Pace(maximumWait, this.reducer.readPause(now), this.reducer.reliesOnReader(now));
	}

	private FeedReader.Pace evacuationPace() {
		Instant now = this.clock.instant();
		return new FeedReader.Pace(this.reducer.evacuationsWait(now), PAUSE_AFTER_EVACUATION,
				this.reducer.receivesEvacuations(now));
	}

	// Without its event loop the process would live on and serve nobody.
	private void handleLoopEnd() {
		this.plannedStop.whenFinished().completeExceptionally(new IllegalStateException("the event loop ended"));
	}

	private void schedule(Runnable task, Duration pause) {
		this.loop.schedule(task, pause.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void post(EntryEvent event) {
		this.loop.execute(() -> processEvent(event));
	}

	private void processEvent(EntryEvent event) {
		try {
			step(event);
		}
		catch (Throwable ex) {
			this.guard.report(LogEvent.INVARIANT_BROKEN, "event " + EventDescription.of(event), ex);
			refuseUndecided(event);
		}
	}

	private void step(EntryEvent event) {
		List<EntryEffect> effects = this.reducer.accept(event, this.clock.instant());
		List<EntryEffect> forExchanges = new ArrayList<>();
		for (EntryEffect effect : effects) {
			executeGuarded(effect, () -> {
				if (!execute(effect)) {
					forExchanges.add(effect);
				}
			});
		}
		if (!forExchanges.isEmpty()) {
			this.loop.execute(() -> executeForExchanges(forExchanges));
		}
	}

	private void executeForExchanges(List<EntryEffect> effects) {
		effects.forEach((effect) -> executeGuarded(effect, () -> this.exchangeEffects.execute(effect)));
	}

	private void executeGuarded(EntryEffect effect, Runnable execution) {
		this.guard.run(LogEvent.EFFECT_FAILED, "effect " + effect.getClass().getSimpleName(), execution);
	}

	// A request whose first step failed has no time limit and would wait until its caller
	// gives up. It has not run, and can't run later: the exchange that an attempt needs
	// ends here.
	private void refuseUndecided(EntryEvent event) {
		if (event instanceof EntryEvent.RequestArrived arrived) {
			long number = arrived.request().number();
			executeForExchanges(List.of(new EntryEffect.Answer(number, HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
					"the node failed to handle the request", Optional.of(RETRY_AFTER_FAILURE))));
			post(new EntryEvent.CallerDisconnected(number, true));
		}
		else if (event instanceof EntryEvent.ProxiedRequestArrived arrived) {
			executeForExchanges(List.of(new EntryEffect.EndProxiedRequest(arrived.number(), Optional.empty(),
					new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE))));
			post(new EntryEvent.OriginDisconnected(arrived.number()));
		}
	}

	private boolean execute(EntryEffect effect) {
		if (effect instanceof EntryEffect.Log log) {
			this.metrics.countEvent(log.line());
			EventLog.write(log.line());
		}
		else if (effect instanceof EntryEffect.Finished finished) {
			this.metrics.recordAnswer(finished);
		}
		else if (effect instanceof EntryEffect.RetryDecided decided) {
			this.metrics.countRetry(decided);
		}
		else if (effect instanceof EntryEffect.SetReadiness readiness) {
			this.ready = readiness.ready();
		}
		else if (effect instanceof EntryEffect.SetCallerLimits set) {
			this.callerServer.setLimits(set.limits());
		}
		else if (effect instanceof EntryEffect.SetWorkspaces set) {
			this.callerServer.setWorkspaces(set.workspacesByApiKey());
		}
		else if (effect instanceof EntryEffect.RefusedOverShare refused) {
			this.metrics.countRefusalOverShare(refused);
		}
		else if (effect instanceof EntryEffect.RetainWorkspaceMetrics retained) {
			this.metrics.retainWorkspaces(retained.workspaces());
		}
		else if (effect instanceof EntryEffect.Send send) {
			this.messenger.send(send.nodes(), send.message());
		}
		else if (effect instanceof EntryEffect.SendCommand command) {
			this.ports.engines()
				.sendCommand(command.target(), command.command(), command.acceptedCommands())
				.thenAccept((answer) -> post(
						new EntryEvent.CommandAnswered(command.target().name(), command.command(), answer)));
		}
		else if (effect instanceof EntryEffect.ReadReport read) {
			readReport(read);
		}
		else {
			return executeStoreEffect(effect) || executeLeaseEffect(effect);
		}
		return true;
	}

	private boolean executeStoreEffect(EntryEffect effect) {
		if (effect instanceof EntryEffect.ReadTargetChanges) {
			this.targetReader.readNow();
		}
		else if (effect instanceof EntryEffect.SendConfiguration send) {
			sendConfiguration(send);
		}
		else if (effect instanceof EntryEffect.ParseConfiguration parse) {
			this.waitingConfiguration.add(parse);
		}
		else if (effect instanceof EntryEffect.ReadConfiguration) {
			this.configurationReader.readNow();
		}
		else if (effect instanceof EntryEffect.AdvanceConfigurationRevision advance) {
			this.configurationReader.advanceRevision(advance.revision());
		}
		else if (effect instanceof EntryEffect.AdvanceTargetRevision advance) {
			this.targetReader.advanceRevision(advance.revision());
		}
		else if (effect instanceof EntryEffect.AdvanceEvacuationRevision advance) {
			this.evacuationReader.ifPresent((reader) -> reader.advanceRevision(advance.revision()));
		}
		else {
			return false;
		}
		return true;
	}

	private void keepLatest(StoredConfiguration read) {
		if (this.latestConfiguration == null
				|| this.latestConfiguration.configuration().version() < read.configuration().version()) {
			this.latestConfiguration = read;
		}
	}

	private void sendConfiguration(EntryEffect.SendConfiguration send) {
		if (this.latestConfiguration.configuration().version() == send.version()) {
			this.messenger.send(send.nodes(), new NodeMessage.ConfigurationText(this.settings.nodeName(),
					send.version(), this.latestConfiguration.text()));
		}
	}

	// Ignores a text that can't be parsed. This node reads the store instead when the
	// peer reports the version again.
	private void parseConfiguration(EntryEffect.ParseConfiguration parse) {
		if (parse.version() <= this.reducer.configurationVersion()) {
			return;
		}
		try {
			StoredConfiguration received = this.ports.configurationReader().apply(parse.text());
			keepLatest(received);
			processEvent(new EntryEvent.ConfigurationReceived(received.configuration(), parse.sender()));
		}
		catch (IllegalArgumentException ex) {
			EventLog.write(LogLine.of(LogEvent.STORE_CONTENT_UNREADABLE,
					"configuration sent by " + parse.sender() + " cause='" + ex.getMessage() + "'"));
		}
	}

	private boolean executeLeaseEffect(EntryEffect effect) {
		if (effect instanceof EntryEffect.ReadLease) {
			this.ports.leaseStore().read().thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else if (effect instanceof EntryEffect.CreateLease create) {
			this.ports.leaseStore()
				.create(create.holder())
				.thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else if (effect instanceof EntryEffect.ReplaceLease replace) {
			this.ports.leaseStore()
				.replace(replace.lease())
				.thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else {
			return false;
		}
		return true;
	}

	private void readReport(EntryEffect.ReadReport read) {
		this.ports.engines().readReport(read.target()).whenComplete((report, failure) -> {
			if (failure == null) {
				post(new EntryEvent.ReportRead(read.target().name(), report));
				return;
			}
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			if (cause instanceof EnginePort.ReportUnavailableException unavailable) {
				post(new EntryEvent.ReportFailed(read.target().name(), unavailable.answer()));
			}
			else {
				EventLog.failure(LogEvent.EFFECT_FAILED, "report of " + read.target(), cause);
			}
		});
	}

	/**
	 * Applies changed settings. Changes of addresses take effect only after a restart.
	 * @param changed the settings to apply
	 */
	public void reload(EntrySettings changed) {
		this.loop.execute(() -> {
			this.plannedStop.updateSettings(changed);
			processEvent(new EntryEvent.SettingsRead(changed));
		});
	}

	/**
	 * Starts a planned stop. The node still accepts connections until the load balancer
	 * has noticed the stop, then closes idle ones, and serves requests on open
	 * connections until shortly before the process is killed. A further call does
	 * nothing.
	 */
	public void stop() {
		Instant requested = this.clock.instant();
		this.loop.execute(() -> {
			if (this.plannedStop.begin(requested)) {
				EventLog.write(LogLine.of(LogEvent.NODE_STOPPING, "node=" + this.settings.nodeName()));
				processEvent(new EntryEvent.StopRequested());
				this.registration.remove();
			}
		});
	}

	/**
	 * Lists the requests of callers that have no final answer.
	 * @return the callers' identifiers of the requests
	 * @throws Exception if the loop does not list them in time
	 */
	public List<String> requestsInFlight() throws Exception {
		return this.loop.submit(() -> this.exchanges.identifiers(CallerExchange.class))
			.get(LIST_REQUESTS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns a future that completes when the node has stopped.
	 * @return the number of callers' requests that were cut off when the stop reached its
	 * bound
	 */
	public CompletableFuture<Integer> whenStopped() {
		return this.plannedStop.whenFinished();
	}

	/**
	 * Posts the newest configuration to the reducer. Older ones in the same answer never
	 * take effect: while one did, this node would claim that it is the newest.
	 */
	private final class ConfigurationListener implements FeedReader.Listener<StoredConfiguration> {

		@Override
		public void handleList(Feed.Page<StoredConfiguration> all) {
			handleChanges(all, 0);
		}

		@Override
		public void handleChanges(Feed.Page<StoredConfiguration> changes, long since) {
			changes.items().forEach(EntryNode.this::keepLatest);
			if (EntryNode.this.latestConfiguration != null) {
				processEvent(new EntryEvent.ConfigurationRead(EntryNode.this.latestConfiguration.configuration(),
						changes.revision()));
			}
		}

	}

	/**
	 * Posts the entries and changes of the target directory to the reducer.
	 */
	private final class TargetListener implements FeedReader.Listener<TargetChange> {

		@Override
		public void handleList(Feed.Page<TargetChange> all) {
			List<TargetEntry> entries = all.items().stream().flatMap((change) -> change.entry().stream()).toList();
			processEvent(new EntryEvent.TargetsListed(entries, all.revision()));
		}

		@Override
		public void handleChanges(Feed.Page<TargetChange> changes, long since) {
			processEvent(new EntryEvent.TargetsChanged(changes.items(), since, changes.revision()));
		}

		@Override
		public void handleUnreachable() {
			processEvent(new EntryEvent.DirectoryUnreachable());
		}

	}

	/**
	 * Posts the evacuations and their changes to the reducer.
	 */
	private final class EvacuationListener implements FeedReader.Listener<EvacuationChange> {

		@Override
		public void handleList(Feed.Page<EvacuationChange> all) {
			processEvent(new EntryEvent.EvacuationsListed(
					all.items().stream().map(EvacuationChange::dataCentre).toList(), all.revision()));
		}

		@Override
		public void handleChanges(Feed.Page<EvacuationChange> changes, long since) {
			processEvent(new EntryEvent.EvacuationsChanged(changes.items(), changes.revision()));
		}

		@Override
		public void handleUnreachable() {
			processEvent(new EntryEvent.EvacuationsUnreachable());
		}

	}

}
