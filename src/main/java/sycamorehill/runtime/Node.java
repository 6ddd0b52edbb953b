package sycamorehill.runtime;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.engine.HttpEngine;
import sycamorehill.engine.HttpPlainService;
import sycamorehill.gateway.CallerGateway;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.logic.node.NodeState;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.objectapi.HttpPlatformClient;
import sycamorehill.objectapi.HttpVmListClient;
import sycamorehill.operator.OperatorServer;
import sycamorehill.operator.PendingOperatorCalls;
import sycamorehill.peer.NettyPeerTransport;
import sycamorehill.settings.NodeSettings;

/**
 * Runs a node, with all its roles, in one process.
 */
public final class Node implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private final NodeSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final CompletableFuture<NodeTermination> termination = new CompletableFuture<>();

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean failed = new AtomicBoolean();

	private final HttpClientPool httpClients = HttpClientPool.createWithoutReuse(CONNECT_TIMEOUT);

	private final ControlLoop loop;

	private final NettyPeerTransport peerTransport;

	private final CallerGateway gateway;

	private final OperatorServer operatorServer;

	private Node(NodeSettings settings, InstantSource wallClock) {
		this.settings = settings;
		SecureRandom random = new SecureRandom();
		NodeIdentity self = new NodeIdentity(NodeIncarnation.of(settings.name(), random.nextLong() >>> 1),
				settings.dataCentre(), settings.peerAddress());
		MonotonicClock clock = MonotonicClock.start(wallClock);
		ObjectMapper json = ModelJson.json();
		BufferedHttpClient httpClient = BufferedHttpClient.create(this.httpClients);
		HttpEngine engineClient = HttpEngine.create(this.httpClients, json);
		PendingOperatorCalls pendingCalls = PendingOperatorCalls.create();
		BufferingEventSink events = BufferingEventSink.create();
		this.peerTransport = NettyPeerTransport.start(self, settings.peerAddress(),
				settings.sharedSecret().getBytes(StandardCharsets.UTF_8), events::post);
		this.gateway = CallerGateway.create(self.incarnation(), clock, wallClock, json, engineClient,
				HttpPlainService.create(httpClient), events, this::isReady, this.metrics);
		EffectDispatcher effectDispatcher = new EffectDispatcher(events, clock,
				HttpPlatformClient.create(httpClient, settings.platformAddress(), json),
				HttpVmListClient.create(httpClient, settings.platformAddress(), json), engineClient,
				this.peerTransport::send, this.gateway.requests(), pendingCalls, this::handleDrained, this.metrics);
		this.loop = ControlLoop.create(NodeState.initial(self, settings.policy()), clock, wallClock, effectDispatcher,
				this.metrics, this::handleInvariantViolation);
		events.connect(this.loop);
		NodeMetrics nodeMetrics = NodeMetrics.of(this.metrics);
		nodeMetrics.registerProcess(this.loop.threadIdentifier());
		nodeMetrics.registerPeers(this.peerTransport.counters());
		nodeMetrics.registerState(this.loop::state, clock);
		this.operatorServer = OperatorServer.create(pendingCalls, new StateReader(this.loop::state, this.metrics),
				events, json);
		EventLog.write(LogLine.of(LogEvent.NODE_STARTED, self.incarnation() + " in " + settings.dataCentre()));
		this.loop.start(random.nextLong());
	}

	/**
	 * Starts a node and its servers.
	 * @param settings the node's settings
	 * @param wallClock the wall clock
	 * @return the running node
	 * @throws Exception if a server can't listen on its address
	 */
	public static Node start(NodeSettings settings, InstantSource wallClock) throws Exception {
		Node node = new Node(settings, wallClock);
		try {
			node.gateway.listen(socketAddress(settings.callerAddress()));
			node.operatorServer.listen(socketAddress(settings.operatorAddress()));
			return node;
		}
		catch (Exception ex) {
			node.close();
			throw ex;
		}
	}

	/**
	 * Starts a planned shutdown. A further call does nothing: it would begin the time in
	 * which the node still accepts requests anew.
	 * @return a future that completes when nothing is in flight any more or the time
	 * limit of the shutdown has passed
	 */
	public CompletableFuture<NodeTermination> stop() {
		if (this.stopping.compareAndSet(false, true)) {
			EventLog.write(LogLine.of(LogEvent.NODE_STOPPING, this.settings.name().value()));
			this.loop.post(new NodeEvent.StopRequested());
		}
		return this.termination;
	}

	/**
	 * Returns how the node ends, once it does.
	 * @return a future that completes when the node has stopped or can't go on
	 */
	public CompletableFuture<NodeTermination> whenStopped() {
		return this.termination;
	}

	/**
	 * Returns the node's settings.
	 * @return the settings
	 */
	public NodeSettings settings() {
		return this.settings;
	}

	/**
	 * Returns the state after the last step.
	 * @return the state
	 */
	public NodeState state() {
		return this.loop.state();
	}

	/**
	 * Lists the requests of callers that have no final answer.
	 * @return the identifiers of the requests
	 */
	public List<String> requestsInFlight() {
		return state().request().active().keySet().stream().map(RequestIdentifier::toString).sorted().toList();
	}

	/**
	 * Returns the names of all metrics that are registered so far.
	 * @return the names
	 */
	Set<String> metricNames() {
		return this.metrics.getNames();
	}

	private boolean isReady() {
		return this.loop.state().ready();
	}

	// An end at once would cut all streams: the node stops as planned. If steps of the
	// stop throw as well, its time limit still ends the process.
	private void handleInvariantViolation(Event event, Throwable cause) {
		if (this.failed.compareAndSet(false, true)) {
			this.termination.completeOnTimeout(NodeTermination.FAILED,
					this.settings.policy().request().stopBound().toMillis(), TimeUnit.MILLISECONDS);
			stop();
		}
		LogEvent logged = (cause instanceof Error) ? LogEvent.ERROR_THROWN : LogEvent.INVARIANT_BROKEN;
		EventLog.failure(logged, event.getClass().getSimpleName(), cause);
	}

	private void handleDrained() {
		this.termination.complete(this.failed.get() ? NodeTermination.FAILED : NodeTermination.STOPPED);
	}

	private static InetSocketAddress socketAddress(Address address) {
		return new InetSocketAddress(address.host(), address.port());
	}

	@Override
	public void close() throws Exception {
		this.loop.close();
		this.gateway.close();
		this.operatorServer.close();
		this.peerTransport.close();
		this.httpClients.close();
	}

}
