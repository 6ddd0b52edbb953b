package sycamorehill.runtime;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

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
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.objectapi.HttpPlatformClient;
import sycamorehill.objectapi.HttpVmListClient;
import sycamorehill.operator.OperatorCalls;
import sycamorehill.operator.OperatorServer;
import sycamorehill.peer.NettyPeerTransport;
import sycamorehill.settings.NodeSettings;

/**
 * One node: every role in one process.
 */
public final class Node implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private final NodeSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final CompletableFuture<NodeEnd> end = new CompletableFuture<>();

	private final HttpClientPool clients = HttpClientPool.create(CONNECT_TIMEOUT);

	private final ControlLoop loop;

	private final NettyPeerTransport peers;

	private final CallerGateway gateway;

	private final OperatorServer operators;

	private Node(NodeSettings settings, InstantSource wallClock) {
		this.settings = settings;
		SecureRandom random = new SecureRandom();
		NodeIdentity self = new NodeIdentity(NodeIncarnation.of(settings.name(), random.nextLong() >>> 1),
				settings.dataCentre(), settings.peerAddress());
		MonotonicClock clock = MonotonicClock.start(wallClock);
		ObjectMapper json = ModelJson.json();
		BufferedHttpClient caller = BufferedHttpClient.create(this.clients);
		HttpEngine engines = HttpEngine.create(this.clients, json);
		OperatorCalls operatorCalls = OperatorCalls.create();
		LateEvents events = LateEvents.create();
		this.peers = NettyPeerTransport.start(self, settings.peerAddress(),
				settings.sharedSecret().getBytes(StandardCharsets.UTF_8), events::post);
		this.gateway = CallerGateway.create(self.incarnation(), clock, wallClock, json, engines,
				HttpPlainService.create(caller), events, this::ready, this.metrics);
		EffectRunner effects = new EffectRunner(events, clock,
				HttpPlatformClient.create(caller, settings.platformAddress(), json),
				HttpVmListClient.create(caller, settings.platformAddress(), json), engines, this.peers::send,
				this.gateway.requests(), operatorCalls, () -> this.end.complete(NodeEnd.STOPPED), this.metrics);
		this.loop = ControlLoop.create(NodeState.initial(self, settings.policy()), clock, wallClock, effects,
				this.metrics, this::broken);
		events.connect(this.loop);
		NodeMetrics values = NodeMetrics.of(this.metrics);
		values.process(this.loop.threadIdentifier());
		values.peers(this.peers.counters());
		values.state(this.loop::state, clock);
		this.operators = OperatorServer.create(operatorCalls, new StateReader(this.loop::state, this.metrics), events,
				json);
		EventLog.write(LogLine.of(LogEvent.NODE_STARTED, self.incarnation() + " in " + settings.dataCentre()));
		this.loop.start(random.nextLong());
	}

	/**
	 * Starts a node and opens its servers.
	 * @param settings its settings
	 * @param wallClock the wall clock
	 * @return the running node
	 * @throws Exception if an address can't be had
	 */
	public static Node start(NodeSettings settings, InstantSource wallClock) throws Exception {
		Node node = new Node(settings, wallClock);
		try {
			node.gateway.listen(socket(settings.callerAddress()));
			node.operators.listen(socket(settings.operatorAddress()));
			return node;
		}
		catch (Exception ex) {
			node.close();
			throw ex;
		}
	}

	/**
	 * Begins a planned stop.
	 * @return done when everything in flight is over, or when the bound has passed
	 */
	public CompletableFuture<NodeEnd> stop() {
		EventLog.write(LogLine.of(LogEvent.NODE_STOPPING, this.settings.name().value()));
		this.loop.post(new NodeEvent.StopRequested());
		return this.end;
	}

	/**
	 * The end of the node.
	 * @return done when it has stopped or can't go on
	 */
	public CompletableFuture<NodeEnd> end() {
		return this.end;
	}

	/**
	 * The node's settings.
	 * @return the settings
	 */
	public NodeSettings settings() {
		return this.settings;
	}

	/**
	 * The state after the last step.
	 * @return the state
	 */
	public NodeState state() {
		return this.loop.state();
	}

	/**
	 * The names of all metrics that the node has so far.
	 * @return the names
	 */
	Set<String> metricNames() {
		return this.metrics.getNames();
	}

	private boolean ready() {
		return this.loop.state().ready();
	}

	private void broken(Event event, RuntimeException cause) {
		EventLog.failure(LogEvent.INVARIANT_BROKEN, event.getClass().getSimpleName(), cause);
		this.end.complete(NodeEnd.BROKEN);
	}

	private static InetSocketAddress socket(Address address) {
		return new InetSocketAddress(address.host(), address.port());
	}

	@Override
	public void close() throws Exception {
		this.loop.close();
		this.gateway.close();
		this.operators.close();
		this.peers.close();
		this.clients.close();
	}

}
