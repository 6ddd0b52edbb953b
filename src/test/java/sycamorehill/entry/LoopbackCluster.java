package sycamorehill.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
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
 * Entry nodes over loopback with three plain targets and three groups of engines, each
 * reached by a link of its own from each node.
 */
final class LoopbackCluster implements AutoCloseable {

	private static final int TARGETS = 3;

	/** Start of each target's process, as the directory names it. */
	private static final long START_MILLIS = 1;

	/** A new process sends no retries beyond the ratio for as long. */
	private static final Duration RETRY_WINDOW = Duration.ofMillis(100);

	private static final Pattern IDENTIFIER = Pattern.compile("Attempt-Id: (\\S+)");

	private final List<RawTarget> plainTargets = new ArrayList<>();

	private final List<RawTarget> engines = new ArrayList<>();

	private final Map<String, EntrySettings> settings = new LinkedHashMap<>();

	private final Map<String, List<TargetLink>> links = new LinkedHashMap<>();

	private final Map<String, EntryNode> nodes = new LinkedHashMap<>();

	private final ChangingFeed<StoredConfiguration> configurations = ChangingFeed
		.of(List.of(new StoredConfiguration(ServingSamples.configuration(1), "")));

	private final Map<String, Configuration> configurationsByText = new ConcurrentHashMap<>();

	private final Map<String, ChangingFeed<TargetChange>> targetChanges = new LinkedHashMap<>();

	private LoopbackCluster() {
	}

	/**
	 * Starts nodes and targets.
	 * @param plainAnswers answers of the plain targets
	 * @param streams answers of the engines
	 * @param others records of nodes that the test plays itself
	 * @param names names of the nodes
	 * @return the cluster
	 */
	static LoopbackCluster start(UnaryOperator<String> plainAnswers, UnaryOperator<String> streams,
			List<NodeRecord> others, String... names) throws Exception {
		return start(RawTarget.responder(plainAnswers), RawTarget.responder(streams), others, names);
	}

	/**
	 * Starts nodes and targets that may write their answers in parts.
	 * @param plainAnswers answers of the plain targets
	 * @param streams answers of the engines
	 * @param others records of nodes that the test plays itself
	 * @param names names of the nodes
	 * @return the cluster
	 */
	static LoopbackCluster start(RawTarget.Responder plainAnswers, RawTarget.Responder streams, List<NodeRecord> others,
			String... names) throws Exception {
		LoopbackCluster cluster = new LoopbackCluster();
		for (int number = 0; number < TARGETS; number++) {
			cluster.plainTargets.add(RawTarget.start(RawTarget.withReports(plainAnswers, START_MILLIS)));
			cluster.engines.add(RawTarget.start(RawTarget.withReports(streams, START_MILLIS)));
		}
		List<NodeRecord> records = new ArrayList<>(others);
		for (String name : names) {
			EntrySettings node = settings(name);
			cluster.settings.put(name, node);
			records.add(node.toNodeRecord());
		}
		for (String name : names) {
			cluster.startNode(name, records);
		}
		return cluster;
	}

	private static EntrySettings settings(String name) {
		List<Address> free = FreePorts.find(5);
		return new EntrySettings(name, DataCentreName.of("north"), List.of(DataCentreName.of("north")), 0.75, 4200,
				free.get(0), free.get(1), free.get(2), free.get(4), free.get(3), true, Duration.ofSeconds(8),
				RETRY_WINDOW, 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
	}

	private void startNode(String name, List<NodeRecord> records) throws Exception {
		List<TargetLink> ownLinks = new ArrayList<>();
		List<TargetChange> entries = new ArrayList<>();
		for (int number = 0; number < TARGETS; number++) {
			TargetLink plain = TargetLink.to(this.plainTargets.get(number).address());
			TargetLink engine = TargetLink.to(this.engines.get(number).address());
			ownLinks.addAll(List.of(plain, engine));
			entries.add(change(ServingSamples.plain("p" + number), plain));
			String group = "small." + number;
			entries.add(change(ServingSamples.member("h" + number, group, 1, 0, MemberState.OPEN), engine));
			entries.add(change(ServingSamples.member("m" + number, group, 1, 1, MemberState.READY), engine));
		}
		this.links.put(name, ownLinks);
		this.targetChanges.put(name, ChangingFeed.of(entries));
		EntryPorts ports = new EntryPorts(PlatformTestCodec.create(), this.configurations, this::readConfiguration,
				this.targetChanges.get(name), new FakePorts.FixedRegistry(records),
				new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines());
		this.nodes.put(name,
				EntryNode.start(this.settings.get(name), (client) -> ports, Clock.systemUTC(), new Random(1)));
		awaitRoutes(name);
	}

	private StoredConfiguration readConfiguration(String text) {
		return Optional.ofNullable(this.configurationsByText.get(text))
			.map((configuration) -> new StoredConfiguration(configuration, text))
			.orElseThrow(() -> new IllegalArgumentException("unreadable"));
	}

	/**
	 * Stores a configuration.
	 * @param configuration the configuration
	 */
	void store(Configuration configuration) {
		String text = "version " + configuration.version();
		this.configurationsByText.put(text, configuration);
		this.configurations.add(List.of(new StoredConfiguration(configuration, text)));
	}

	/**
	 * Changes the entries of targets in the store, each of which every node lists with
	 * the address of its own link.
	 * @param change returns the changed entry of a target; empty if the entry is removed
	 */
	void changeTargets(Function<TargetEntry, Optional<TargetEntry>> change) {
		this.targetChanges.values()
			.forEach((feed) -> feed.add(feed.all()
				.stream()
				.map((target) -> new TargetChange(target.name(), target.entry().flatMap(change)))
				.toList()));
	}

	/**
	 * Waits until a node has put a version of the configuration in force.
	 * @param node the node
	 * @param version the version
	 */
	void awaitVersion(String node, long version) throws Exception {
		for (int attempt = 0; attempt < 300; attempt++) {
			if (hasVersion(node, version)) {
				return;
			}
			Thread.sleep(10);
		}
		throw new AssertionError("version " + version + " is not in force");
	}

	boolean hasVersion(String node, long version) throws IOException {
		return metrics(node).contains("configuration_version " + version + ".0");
	}

	/** Makes the next read of the configurations fail. */
	void failConfigurationReads() {
		this.configurations.fail();
	}

	private static TargetChange change(TargetEntry entry, TargetLink link) {
		return new TargetChange(entry.name(),
				Optional.of(new TargetEntry(entry.name(), entry.service(), link.address(), entry.dataCentre(),
						entry.slots(), false, START_MILLIS, entry.domain(), entry.staged(), entry.loaded(),
						entry.membership())));
	}

	// Waits until the node has read its configuration and targets; before, it answers
	// 503.
	private void awaitRoutes(String name) throws Exception {
		for (int attempt = 0; attempt < 100; attempt++) {
			if (ask(name, "/nowhere/", "a0").startsWith("HTTP/1.1 404")) {
				return;
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has not read its configuration");
	}

	void cut(String node, TargetLink.Way way) throws IOException {
		for (TargetLink link : this.links.get(node)) {
			link.cut(way);
		}
	}

	void mend(String node) throws IOException {
		for (TargetLink link : this.links.get(node)) {
			link.mend();
		}
	}

	EntryNode node(String name) {
		return this.nodes.get(name);
	}

	EntrySettings settingsOf(String name) {
		return this.settings.get(name);
	}

	/**
	 * Waits until a node may send retries beyond the ratio of its requests.
	 * @param node the node
	 */
	void awaitRetryShare(String node) throws Exception {
		for (int attempt = 0; attempt < 300; attempt++) {
			if (!metrics(node).contains("retries_share 0.0")) {
				return;
			}
			Thread.sleep(20);
		}
		throw new AssertionError("the node has no share of the retries");
	}

	private String metrics(String node) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.settings.get(node).peerAddress().port())) {
			socket.setSoTimeout(3000);
			socket.getOutputStream()
				.write("GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	/**
	 * Returns the requests that reached the plain targets.
	 * @return the requests
	 */
	List<String> plainRequests() {
		return this.plainTargets.stream().flatMap((target) -> target.requests().stream()).toList();
	}

	/**
	 * Returns the requests that reached the engines.
	 * @return the requests
	 */
	List<String> streamRequests() {
		return this.engines.stream().flatMap((target) -> target.requests().stream()).toList();
	}

	/**
	 * Sends a request and reads the answer to its end.
	 * @param node the node
	 * @param path the path
	 * @param identifier identifier of the request
	 * @return the answer
	 */
	String ask(String node, String path, String identifier) throws IOException {
		try (Socket socket = open(node, path, identifier, "abc")) {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (SocketTimeoutException ex) {
			return "no answer in time";
		}
	}

	/**
	 * Sends a request.
	 * @param node the node
	 * @param path the path
	 * @param identifier identifier of the request
	 * @param body body of the request
	 * @return the connection
	 */
	Socket open(String node, String path, String identifier, String body) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.settings.get(node).callerAddress().port());
		socket.setSoTimeout(5000);
		String model = path.startsWith("/s") ? "Model: small\r\n" : "";
		socket.getOutputStream()
			.write(("POST " + path + " HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: " + identifier
					+ "\r\nAuthorization: Token key\r\nTenant: forged\r\nDeadline-Ms: 3000\r\nConnection: close\r\n"
					+ model + "Content-Length: " + body.length() + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	/**
	 * Returns the identifier of a request.
	 * @param request the request as a target received it
	 * @return the identifier
	 */
	static String identifier(String request) {
		Matcher matcher = IDENTIFIER.matcher(request);
		return matcher.find() ? matcher.group(1) : "";
	}

	/**
	 * Returns a complete answer to a request.
	 * @param request the request
	 * @return the answer
	 */
	static String hello(String request) {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + identifier(request)
				+ "\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nhello";
	}

	/**
	 * Returns a stream of events.
	 * @param request the request
	 * @param first number of the first event
	 * @param last number of the last event
	 * @param complete whether the stream ends; otherwise the connection breaks
	 * @return the answer
	 */
	static String events(String request, int first, int last, boolean complete) {
		StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nAttempt-Id: " + identifier(request)
				+ "\r\nServer-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int number = first; number <= last; number++) {
			String event = "id: " + number + "\ndata: e" + number + "\n\n";
			text.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
		}
		return complete ? text.append("0\r\n\r\n").toString() : text.append('\0').toString();
	}

	@Override
	public void close() throws IOException {
		for (List<TargetLink> ofNode : this.links.values()) {
			for (TargetLink link : ofNode) {
				link.close();
			}
		}
		for (RawTarget target : this.plainTargets) {
			target.close();
		}
		for (RawTarget target : this.engines) {
			target.close();
		}
	}

}
