package sycamorehill.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;

import sycamorehill.logic.entry.EntryReducer;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.runtime.EventLog;
import sycamorehill.runtime.MonotonicClock;

/**
 * The process of an entry VM. One thread moves the bytes and decides: small VMs have less
 * than one processor, and what comes need not wait for a second thread.
 */
public final class EntryNode implements EventPost {

	private static final String METRICS_PATH = "/metrics";

	private static final Duration TICK = Duration.ofMillis(100);

	/** Time before the process is killed at which it ends by itself. */
	private static final Duration BEFORE_KILL = Duration.ofMillis(300);

	private static final Duration STOP_LOOK = Duration.ofMillis(100);

	/** Pause after a call about the entry nodes that failed. */
	private static final Duration REGISTER_AGAIN = Duration.ofSeconds(1);

	/**
	 * Pause between two lists of the entry nodes. Nodes introduce themselves to each
	 * other; the list is for introductions that were lost, and for nodes that are gone.
	 */
	private static final Duration LIST_NODES_EVERY = Duration.ofSeconds(20);

	private final EntrySettings settings;

	private final InstantSource clock;

	private final EntryReducer reducer;

	private final EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("entry")).next();

	private final EntryPorts ports;

	private final CallerServer callers;

	private final PageServer readiness;

	private final PageServer figures;

	private final EntryMetrics metrics;

	private boolean wantsCallers;

	private final NodeMessenger messenger;

	private FeedReader<StoredConfiguration> configurations;

	private FeedReader<TargetChange> targets;

	private boolean readingConfiguration;

	private StoredConfiguration newest;

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private EntryNode(EntrySettings settings, EntryPorts.Factory factory, InstantSource wallClock,
			RandomGenerator random) {
		this.settings = settings;
		this.clock = MonotonicClock.start(wallClock);
		String self = settings.nodeName() + '#' + Long.toHexString(random.nextLong());
		this.reducer = EntryReducer.of(settings, self, random, this.clock.instant());
		this.ports = factory.create(CallClient.of(TargetConnections.of(this.loop)));
		this.callers = CallerServer.of(this.loop, this.ports.codec(), this, TargetConnections.of(this.loop));
		this.messenger = NodeMessenger.of(this.loop, this);
		this.metrics = EntryMetrics.of(this.reducer);
		this.readiness = PageServer.of(this.loop, this::readinessPage);
		this.figures = PageServer.of(this.loop, this::metricsPage);
	}

	/**
	 * Starts the process's work.
	 * @param settings the node's settings
	 * @param factory makes what the node speaks to
	 * @param wallClock the time of day
	 * @param random feeds all random choices
	 * @return the node
	 * @throws InterruptedException if the thread is interrupted while addresses are bound
	 */
	public static EntryNode start(EntrySettings settings, EntryPorts.Factory factory, InstantSource wallClock,
			RandomGenerator random) throws InterruptedException {
		EntryNode node = new EntryNode(settings, factory, wallClock, random);
		node.start();
		return node;
	}

	private void start() throws InterruptedException {
		EventLog.write(LogLine.of(LogEvent.NODE_STARTED, "node=" + this.settings.nodeName() + " callers="
				+ this.settings.callerAddress() + " store=" + this.settings.storeAddress()));
		this.configurations = FeedReader.of(() -> pace(EntryReducer.STORE_LONG_POLL_WAIT), "configuration",
				this.ports.configurations(), this.loop, new EachConfiguration());
		this.targets = FeedReader.of(() -> pace(EntryReducer.STORE_LONG_POLL_WAIT), "targets", this.ports.targets(),
				this.loop, new EachTarget());
		this.messenger.start(this.settings.peerAddress());
		enter();
		this.configurations.start();
		this.targets.start();
		this.loop.scheduleAtFixedRate(this::tick, 0, TICK.toMillis(), TimeUnit.MILLISECONDS);
		this.callers.start(this.settings.callerAddress());
		this.figures.start(this.settings.peerAddress());
		this.readiness.start(this.settings.readinessAddress());
	}

	// All that is looked at regularly, in one go: each timer of its own would wake the
	// process some more times a second. Failure: one look fails, and the timer ends with
	// it; it shows as a node that never reads or tells anything again. So failures are
	// logged and the next tick comes.
	private void tick() {
		try {
			step(new EntryEvent.Ticked());
			this.callers.look();
			this.configurations.look();
			this.targets.look();
		}
		catch (RuntimeException ex) {
			EventLog.failure(LogEvent.INVARIANT_BROKEN, "regular looks", ex);
		}
	}

	private PageServer.Page readinessPage(String path) {
		if (!path.equals(this.ports.codec().readinessPath())) {
			return PageServer.Page.NOT_FOUND;
		}
		return PageServer.Page
			.empty(this.wantsCallers ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

	private PageServer.Page metricsPage(String path) {
		return path.equals(METRICS_PATH) ? this.metrics.page() : PageServer.Page.NOT_FOUND;
	}

	private FeedReader.Pace pace(Duration longestWait) {
		Instant now = this.clock.instant();
		return new FeedReader.Pace(longestWait, this.reducer.readPause(now), this.reducer.receivesStoreUpdates(now));
	}

	// Of two nodes that start at once, the one that lists after the other was entered
	// finds it, and introduces itself to it.
	private void enter() {
		this.ports.register().enter(this.settings.toNodeRecord()).whenCompleteAsync((entered, failure) -> {
			if (failure != null) {
				EventLog.write(LogLine.of(LogEvent.STORE_CONTACT, "this node is not entered: " + failure.getMessage()));
				later(this::enter, REGISTER_AGAIN);
			}
			else {
				listNodes(true);
			}
		}, this.loop);
	}

	private void listNodes(boolean present) {
		this.ports.register().list(present).whenCompleteAsync((nodes, failure) -> {
			if (failure != null) {
				EventLog.write(LogLine.of(LogEvent.STORE_CONTACT, "nodes are not listed: " + failure.getMessage()));
				later(() -> listNodes(present), REGISTER_AGAIN);
			}
			else {
				step(new EntryEvent.NodesListed(nodes));
				later(() -> listNodes(false), LIST_NODES_EVERY);
			}
		}, this.loop);
	}

	private void later(Runnable task, Duration pause) {
		this.loop.schedule(task, pause.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void post(EntryEvent event) {
		this.loop.execute(() -> step(event));
	}

	private void step(EntryEvent event) {
		List<EntryEffect> effects;
		try {
			effects = this.reducer.accept(event, this.clock.instant());
		}
		catch (RuntimeException ex) {
			EventLog.failure(LogEvent.INVARIANT_BROKEN, "event " + event, ex);
			return;
		}
		List<EntryEffect> forCallers = new ArrayList<>();
		for (EntryEffect effect : effects) {
			if (!carryOut(effect)) {
				forCallers.add(effect);
			}
		}
		if (!forCallers.isEmpty()) {
			this.loop.execute(() -> this.callers.carryOut(forCallers));
		}
	}

	private boolean carryOut(EntryEffect effect) {
		if (effect instanceof EntryEffect.Log log) {
			this.metrics.logged(log.line());
			EventLog.write(log.line());
		}
		else if (effect instanceof EntryEffect.Finished finished) {
			this.metrics.finished(finished);
		}
		else if (effect instanceof EntryEffect.SetReadiness ready) {
			this.wantsCallers = ready.ready();
		}
		else if (effect instanceof EntryEffect.Send tell) {
			this.messenger.send(tell.nodes(), tell.message());
		}
		else if (effect instanceof EntryEffect.SendCommand order) {
			this.ports.engines()
				.order(order.target(), order.command(), order.acceptedCommands())
				.thenAccept(
						(answer) -> post(new EntryEvent.OrderAnswered(order.target().name(), order.command(), answer)));
		}
		else if (effect instanceof EntryEffect.ReadReport read) {
			readReport(read);
		}
		else {
			return carryOutForStore(effect) || carryOutForLease(effect);
		}
		return true;
	}

	private boolean carryOutForStore(EntryEffect effect) {
		if (effect instanceof EntryEffect.ReadTargetChanges) {
			this.targets.readNow();
		}
		else if (effect instanceof EntryEffect.SendConfiguration tell) {
			tellConfiguration(tell);
		}
		else if (effect instanceof EntryEffect.ParseConfiguration take) {
			takeConfiguration(take.text());
		}
		else if (effect instanceof EntryEffect.ReadConfiguration read) {
			readConfiguration(read.version());
		}
		else if (effect instanceof EntryEffect.AdvanceTargetRevision known) {
			this.targets.known(known.revision());
		}
		else {
			return false;
		}
		return true;
	}

	// The text of the version did not come. A copy costs the store less than a read of
	// the present state, which follows where the copy doesn't hold the version yet. While
	// the store turns this node away both fail, and the next news asks again.
	private void readConfiguration(long version) {
		if (this.readingConfiguration) {
			return;
		}
		this.readingConfiguration = true;
		this.ports.configurations().listCopy().whenCompleteAsync((page, failure) -> {
			this.readingConfiguration = false;
			if (failure != null) {
				EventLog.write(LogLine.of(LogEvent.STORE_CONTACT,
						"configuration " + version + " is not read from a copy: " + failure.getMessage()));
			}
			else {
				page.items().forEach(this::heard);
			}
			if (this.reducer.configurationVersion() < version) {
				this.configurations.readNow();
			}
		}, this.loop);
	}

	private void read(StoredConfiguration read) {
		keep(read);
		step(new EntryEvent.ConfigurationRead(read.configuration()));
	}

	private void heard(StoredConfiguration told) {
		keep(told);
		step(new EntryEvent.ConfigurationHeard(told.configuration()));
	}

	private void keep(StoredConfiguration read) {
		if (this.newest == null || this.newest.configuration().version() < read.configuration().version()) {
			this.newest = read;
		}
	}

	private void tellConfiguration(EntryEffect.SendConfiguration tell) {
		if (this.newest.configuration().version() == tell.version()) {
			this.messenger.send(tell.nodes(),
					new NodeMessage.ConfigurationTold(this.settings.nodeName(), tell.version(), this.newest.text()));
		}
	}

	// A text that can't be read is left out; this node reads the store instead when the
	// other one tells of the version again.
	private void takeConfiguration(String text) {
		try {
			heard(this.ports.configurationReader().apply(text));
		}
		catch (IllegalArgumentException ex) {
			EventLog.write(LogLine.of(LogEvent.STORE_CONTENT_UNREADABLE,
					"configuration told by another node cause='" + ex.getMessage() + "'"));
		}
	}

	private boolean carryOutForLease(EntryEffect effect) {
		if (effect instanceof EntryEffect.ReadLease) {
			this.ports.lease().read().thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else if (effect instanceof EntryEffect.CreateLease create) {
			this.ports.lease()
				.create(create.holder())
				.thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else if (effect instanceof EntryEffect.ReplaceLease replace) {
			this.ports.lease()
				.replace(replace.lease())
				.thenAccept((answer) -> post(new EntryEvent.LeaseAnswered(answer)));
		}
		else {
			return false;
		}
		return true;
	}

	private void readReport(EntryEffect.ReadReport read) {
		this.ports.engines().report(read.target()).whenComplete((report, failure) -> {
			if (failure == null) {
				post(new EntryEvent.ReportRead(read.target().name(), report));
				return;
			}
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			if (cause instanceof EnginePort.NoReportException none) {
				post(new EntryEvent.ReportFailed(read.target().name(), none.seen()));
			}
			else {
				EventLog.failure(LogEvent.EFFECT_FAILED, "report of " + read.target(), cause);
			}
		});
	}

	/**
	 * Goes by other settings from now on; addresses hold for the life of the process.
	 * @param read the settings
	 */
	public void reload(EntrySettings read) {
		post(new EntryEvent.SettingsRead(read));
	}

	/**
	 * Begins a planned stop: takes no new connections after the balancer has noticed, and
	 * finishes what arrives on open ones until shortly before the process is killed.
	 */
	public void stop() {
		EventLog.write(LogLine.of(LogEvent.NODE_STOPPING, "node=" + this.settings.nodeName()));
		post(new EntryEvent.StopOrdered());
		this.ports.register().leave(this.settings.nodeName()).exceptionally((failure) -> {
			EventLog.write(LogLine.of(LogEvent.STORE_CONTACT, "this node is not taken out: " + failure.getMessage()));
			return null;
		});
		Instant ordered = this.clock.instant();
		this.loop.execute(this.callers::beginStop);
		this.loop.scheduleWithFixedDelay(() -> lookForEnd(ordered), STOP_LOOK.toMillis(), STOP_LOOK.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	private void lookForEnd(Instant ordered) {
		Duration since = Duration.between(ordered, this.clock.instant());
		if (since.compareTo(EntryReducer.ACCEPTANCE_AFTER_STOP) < 0) {
			return;
		}
		this.callers.closeIdle();
		boolean late = since.compareTo(this.settings.stopTime().minus(BEFORE_KILL)) > 0;
		if (late || !this.callers.hasCallers()) {
			EventLog.write(LogLine.of(LogEvent.REQUESTS_DRAINED, "node=" + this.settings.nodeName() + " millis="
					+ since.toMillis() + " callers-left=" + this.callers.hasCallers()));
			this.ended.complete(null);
		}
	}

	/**
	 * Completes when the node has stopped.
	 * @return the end
	 */
	public CompletableFuture<Void> end() {
		return this.ended;
	}

	/**
	 * Passes configurations on to the decisions.
	 */
	private final class EachConfiguration implements FeedReader.Listener<StoredConfiguration> {

		@Override
		public void listed(Feed.Page<StoredConfiguration> all) {
			changed(all, 0);
		}

		@Override
		public void changed(Feed.Page<StoredConfiguration> changes, long since) {
			changes.items().forEach(EntryNode.this::read);
			if (changes.items().isEmpty() && EntryNode.this.newest != null) {
				read(EntryNode.this.newest);
			}
		}

	}

	/**
	 * Passes the directory of targets on to the decisions.
	 */
	private final class EachTarget implements FeedReader.Listener<TargetChange> {

		@Override
		public void listed(Feed.Page<TargetChange> all) {
			List<TargetEntry> entries = all.items().stream().flatMap((change) -> change.entry().stream()).toList();
			step(new EntryEvent.TargetsListed(entries, all.revision()));
		}

		@Override
		public void changed(Feed.Page<TargetChange> changes, long since) {
			step(new EntryEvent.TargetsChanged(changes.items(), since, changes.revision()));
		}

		@Override
		public void notReached() {
			step(new EntryEvent.DirectoryNotReached());
		}

	}

}
