package sycamorehill.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.ServingSamples;

/**
 * Entry node over loopback before one target, which is a plain one and a group of engines
 * at once, for tests that watch single connections of callers.
 */
final class CallerNode implements AutoCloseable {

	private static final Duration STOP_TIME = Duration.ofSeconds(5);

	/** Start of the target's process, as the directory names it. */
	private static final long START_MILLIS = 1;

	private static final int DESCRIPTORS = 4200;

	private static final int SMALL_BUFFER_BYTES = 4096;

	/** Node that a test may play at the node's address for requests of other nodes. */
	private static final NodeRecord OTHER_NODE = new NodeRecord("two", Address.of("127.0.0.1", 1),
			DataCentreName.of("north"), 0.75, Optional.empty());

	private final RawTarget target;

	private final EntrySettings settings;

	private final EntryNode node;

	private CallerNode(RawTarget target, CallerLimits limits, int descriptors, int moreTargets) throws Exception {
		this.target = target;
		List<Address> free = FreePorts.find(5);
		this.settings = new EntrySettings("one", DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75,
				descriptors, free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, STOP_TIME,
				Duration.ofMillis(100), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
		Configuration sample = ServingSamples.configuration(1);
		Configuration configuration = new Configuration(1, sample.routes(), sample.services(), limits,
				sample.workspacesByApiKey(), true);
		List<TargetChange> entries = new ArrayList<>(List.of(change(ServingSamples.plain("p1")),
				change(ServingSamples.member("h0", "small.0", 1, 0, MemberState.OPEN)),
				change(ServingSamples.member("m0", "small.0", 1, 1, MemberState.READY))));
		IntStream.rangeClosed(1, moreTargets).forEach((number) -> {
			entries.add(change(ServingSamples.plain("more" + number)));
			entries.add(change(ServingSamples.member("h" + number, "small." + number, 1, 0, MemberState.OPEN)));
			entries.add(change(ServingSamples.member("m" + number, "small." + number, 1, 1, MemberState.READY)));
		});
		EntryPorts ports = new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(configuration, "")),
				(text) -> new StoredConfiguration(configuration, text), new FakePorts.FixedFeed<>(entries),
				registry(this.settings.toNodeRecord(), moreTargets == 0), new FakePorts.UnavailableLeaseStore(),
				new FakePorts.UnreachableEngines());
		this.node = EntryNode.start(this.settings, (client) -> ports, Clock.systemUTC(), new Random(1));
	}

	/**
	 * Starts a node and its target.
	 * @param limits limits of callers
	 * @param answers answers of the target, as in {@link RawTarget}
	 * @return the node
	 */
	static CallerNode start(CallerLimits limits, UnaryOperator<String> answers) throws Exception {
		return start(limits, answers, DESCRIPTORS);
	}

	/**
	 * Starts a node that may open only so many files and sockets, and its target.
	 * @param limits limits of callers
	 * @param answers answers of the target, as in {@link RawTarget}
	 * @param descriptors the number of descriptors
	 * @return the node
	 */
	static CallerNode start(CallerLimits limits, UnaryOperator<String> answers, int descriptors) throws Exception {
		return start(limits, RawTarget.responder(answers), descriptors);
	}

	/**
	 * Starts a node and a target that may write its answers in parts.
	 * @param responder answers of the target
	 * @return the node
	 */
	static CallerNode start(RawTarget.Responder responder) throws Exception {
		return start(CallerLimits.INITIAL, responder, DESCRIPTORS);
	}

	/**
	 * Starts a node before many targets of both kinds with the same answers, so that some
	 * are left when the node avoids those that fail.
	 * @param responder answers of the targets
	 * @param moreTargets how many more there are
	 * @return the node
	 */
	static CallerNode startWithTargets(RawTarget.Responder responder, int moreTargets) throws Exception {
		CallerNode node = start(CallerLimits.INITIAL, responder, DESCRIPTORS, moreTargets);
		node.awaitRetryShare();
		return node;
	}

	private void awaitRetryShare() throws Exception {
		for (int attempt = 0; attempt < 300; attempt++) {
			if (!metrics().contains("retries_share 0.0")) {
				return;
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has no share of the retries");
	}

	/**
	 * Starts a node and a target that also answers which process of it runs, or doesn't.
	 * @param responder answers of the target
	 * @return the node
	 */
	static CallerNode startWithoutReports(RawTarget.Responder responder) throws Exception {
		CallerNode node = new CallerNode(RawTarget.start(responder), CallerLimits.INITIAL, DESCRIPTORS, 0);
		node.awaitRoutes();
		return node;
	}

	private static CallerNode start(CallerLimits limits, RawTarget.Responder responder, int descriptors)
			throws Exception {
		return start(limits, responder, descriptors, 0);
	}

	private static CallerNode start(CallerLimits limits, RawTarget.Responder responder, int descriptors,
			int moreTargets) throws Exception {
		CallerNode node = new CallerNode(RawTarget.start(RawTarget.withReports(responder, START_MILLIS)), limits,
				descriptors, moreTargets);
		node.awaitRoutes();
		return node;
	}

	// A node that another one doesn't confirm has no share of the retries.
	private static NodeRegistry registry(NodeRecord self, boolean others) {
		return others ? FakePorts.registry(self, OTHER_NODE) : FakePorts.registry(self);
	}

	private TargetChange change(TargetEntry entry) {
		return new TargetChange(entry.name(),
				Optional.of(new TargetEntry(entry.name(), entry.service(), this.target.address(), entry.dataCentre(),
						entry.slots(), false, START_MILLIS, entry.domain(), entry.staged(), entry.loaded(),
						entry.membership())));
	}

	// Waits until the node has read its configuration and targets; before, it answers
	// 503.
	private void awaitRoutes() throws Exception {
		for (int attempt = 0; attempt < 100; attempt++) {
			try (Socket socket = connect()) {
				send(socket, "GET /nowhere/ HTTP/1.1\r\nHost: feed.example\r\nConnection: close\r\n\r\n");
				if (readAll(socket).startsWith("HTTP/1.1 404")) {
					return;
				}
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has not read its configuration");
	}

	Socket connect() throws IOException {
		return connect(new Socket());
	}

	/**
	 * Connects a caller whose receive buffer is small, so that it can be slow.
	 * @return the connection
	 */
	Socket connectSlowly() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
		return connect(socket);
	}

	private Socket connect(Socket socket) throws IOException {
		socket.setSoTimeout(10_000);
		socket.connect(new InetSocketAddress("127.0.0.1", this.settings.callerAddress().port()));
		return socket;
	}

	static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Returns a request on a kept connection.
	 * @param path the path
	 * @param identifier identifier of the request
	 * @param headers more header lines
	 * @return the request
	 */
	static String request(String path, String identifier, String... headers) {
		String model = path.startsWith("/s") ? "Model: small\r\n" : "";
		StringBuilder text = new StringBuilder(
				"POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nAuthorization: Token key\r\nAttempt-Id: "
						+ identifier + "\r\n" + model + "Content-Length: 3\r\n");
		for (String header : headers) {
			text.append(header).append("\r\n");
		}
		return text.append("\r\nabc").toString();
	}

	/**
	 * Reads until the connection ends.
	 * @param socket the connection
	 * @return the bytes; with "[reset]" or "[open]" behind them if the connection was
	 * reset or is still open
	 */
	static String readAll(Socket socket) {
		StringBuilder text = new StringBuilder();
		byte[] buffer = new byte[8192];
		try {
			InputStream in = socket.getInputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
			}
		}
		catch (SocketTimeoutException ex) {
			text.append("[open]");
		}
		catch (IOException ex) {
			text.append("[reset]");
		}
		return text.toString();
	}

	/**
	 * Reads until a text has been received.
	 * @param socket the connection
	 * @param end the text
	 * @return the bytes
	 */
	static String readUntil(Socket socket, String end) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		while (text.indexOf(end) < 0) {
			int next = in.read();
			if (next < 0) {
				throw new AssertionError("the connection ended after " + text);
			}
			text.append((char) next);
		}
		return text.toString();
	}

	/**
	 * Sends a request on a connection of its own and reads its answer.
	 * @param path the path
	 * @param identifier identifier of the request
	 * @return the answer
	 */
	String ask(String path, String identifier) throws IOException {
		try (Socket socket = connect()) {
			send(socket, request(path, identifier, "Connection: close"));
			return readAll(socket);
		}
	}

	List<String> targetRequests() {
		return this.target.requests();
	}

	String metrics() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.peerAddress().port())) {
			socket.setSoTimeout(3000);
			send(socket, "GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
			return readAll(socket);
		}
	}

	Address callerAddress() {
		return this.settings.callerAddress();
	}

	Address proxyAddress() {
		return this.settings.proxyAddress();
	}

	EntryNode node() {
		return this.node;
	}

	List<String> requests() {
		return this.target.requests();
	}

	@Override
	public void close() throws IOException {
		this.target.close();
	}

}
