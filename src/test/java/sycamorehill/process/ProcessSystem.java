package sycamorehill.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.cli.ExitCode;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpCall;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.load.CallOutcome;
import sycamorehill.load.CallerClient;
import sycamorehill.load.LoadPlan;
import sycamorehill.load.LoadReport;
import sycamorehill.load.LoadRunner;
import sycamorehill.load.TargetRuns;
import sycamorehill.local.FreePorts;
import sycamorehill.local.OperatorClient;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.TicketRollout;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.model.ticket.WorkspaceKeys;
import sycamorehill.runtime.MonotonicClock;

/**
 * Stand-ins and three data centres of nodes, each a process of the binary.
 */
final class ProcessSystem implements AutoCloseable {

	static final List<String> DATA_CENTRES = List.of("fukuoka", "kumamoto", "kagoshima");

	private static final String KEY = "process-test-key";

	private final HttpClientPool pool = HttpClientPool.create(Duration.ofSeconds(1));

	private final ObjectMapper json = ModelJson.json();

	private final MonotonicClock clock = MonotonicClock.start(Clock.systemUTC());

	private final List<NodeProcess> nodes = new ArrayList<>();

	private final Path folder;

	private final BinaryProcess standIns;

	private final Address platform;

	private final CuttableLink platformLink;

	private final List<PlainTarget> plainTargets;

	private final List<BinaryProcess> slowlyStarted = new ArrayList<>();

	private final List<String> trials = new ArrayList<>();

	private ProcessSystem(Path folder) throws Exception {
		this.folder = folder;
		Path settings = folder.resolve("stand-in.ini");
		Files.writeString(settings, "[stand-in]\ndata-centres = " + String.join(",", DATA_CENTRES) + "\n");
		this.standIns = BinaryProcess.start("stand-in", "--settings", settings.toString());
		this.plainTargets = this.standIns.awaitLines("plain ", DATA_CENTRES.size())
			.stream()
			.map(ProcessSystem::plainTarget)
			.toList();
		this.platform = Address.parse(this.standIns.awaitLines("platform ", 1).get(0).split(" ")[1]);
		this.platformLink = CuttableLink.to(this.platform);
	}

	static ProcessSystem start(Path folder, int nodesPerDataCentre) throws Exception {
		return start(folder, nodesPerDataCentre, "");
	}

	static ProcessSystem start(Path folder, int nodesPerDataCentre, String linkedDataCentre) throws Exception {
		ProcessSystem system = new ProcessSystem(folder);
		for (String dataCentre : DATA_CENTRES) {
			Address seen = dataCentre.equals(linkedDataCentre) ? system.platformLink.address() : system.platform;
			for (int number = 1; number <= nodesPerDataCentre; number++) {
				system.startNode(dataCentre + "-" + number, dataCentre, seen);
			}
		}
		return system;
	}

	CuttableLink platformLink() {
		return this.platformLink;
	}

	List<NodeProcess> nodesIn(String dataCentre) {
		return this.nodes.stream().filter((node) -> node.dataCentre().equals(dataCentre)).toList();
	}

	void platformFault(String fault) {
		String body = "{\"target\": \"platform\", \"fault\": \"" + fault + "\", \"share\": 1, \"seed\": 1}";
		HttpCall call = HttpCall.of(this.platform, "POST", "/faults", Duration.ofSeconds(5))
			.withBody(body, "application/json");
		BufferedHttpClient.create(this.pool).call(call).join();
	}

	NodeProcess startNode(String name, String dataCentre, Address platformAddress) throws IOException {
		List<Address> addresses = FreePorts.find(3);
		Path file = Files.writeString(this.folder.resolve(name + ".ini"),
				settings(name, dataCentre, platformAddress, addresses));
		NodeProcess node = new NodeProcess(name, dataCentre, addresses.get(0), addresses.get(1), addresses.get(2),
				BinaryProcess.start("serve", "--settings", file.toString()));
		this.nodes.add(node);
		return node;
	}

	private String settings(String name, String dataCentre, Address platformAddress, List<Address> addresses) {
		String contacts = this.nodes.stream()
			.map(NodeProcess::contact)
			.reduce((one, other) -> one + "," + other)
			.orElse("");
		return "[node]\nname = " + name + "\ndata-centre = " + dataCentre + "\ndata-centres = "
				+ String.join(",", DATA_CENTRES) + "\ncaller-address = " + addresses.get(0) + "\noperator-address = "
				+ addresses.get(1) + "\npeer-address = " + addresses.get(2)
				+ "\nshared-secret = process-test-secret\n[platform]\naddress = " + platformAddress + "\n"
				+ (contacts.isEmpty() ? "" : "[membership]\ncontacts = " + contacts + "\n");
	}

	/**
	 * Starts a node whose settings come slowly, and sends signals before they have come.
	 * @param signals names of the signals
	 * @return the process
	 */
	BinaryProcess startSlowly(List<String> signals) throws Exception {
		String name = "fukuoka-" + String.join("-", signals).toLowerCase(Locale.ROOT);
		Path pipe = this.folder.resolve(name + ".ini");
		new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor();
		BinaryProcess process = BinaryProcess.start("serve", "--settings", pipe.toString());
		this.slowlyStarted.add(process);
		try (OutputStream text = Files.newOutputStream(pipe, StandardOpenOption.WRITE)) {
			process.signal(signals, Duration.ofMillis(50));
			text.write(settings(name, "fukuoka", this.platform, FreePorts.find(3)).getBytes(StandardCharsets.UTF_8));
		}
		return process;
	}

	/**
	 * Returns a node as one that gets signals.
	 * @param node the node
	 * @return the node
	 */
	SignalledNode signalled(NodeProcess node) {
		String body = "{\"model\":\"drafting\",\"stream\":true,\"max_tokens\":600,\"messages\":"
				+ "[{\"role\":\"user\",\"content\":\"hello\"}]}";
		return new SignalledNode(node.process(), node.callers(),
				"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + KEY
						+ "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	List<NodeProcess> nodes() {
		return List.copyOf(this.nodes);
	}

	Address platform() {
		return this.platform;
	}

	void remove(NodeProcess node) {
		this.nodes.remove(node);
	}

	Path writeFirstTicket() throws IOException {
		List<ItemChange> changes = new ArrayList<>();
		changes.add(ItemChange.set(ServiceItem.model(ServiceName.of("drafting"), "model", "1"), 0));
		changes.add(ItemChange.set(ServiceItem.plain(ServiceName.of("order-desk"), this.plainTargets, List.of()), 0));
		for (String dataCentre : DATA_CENTRES) {
			changes.add(ItemChange.set(new ModelGroupItem(GroupSetName.of("drafting-" + dataCentre),
					ServiceName.of("drafting"), DataCentreName.of(dataCentre), 2, 2, 0, false, true), 0));
		}
		changes.add(ItemChange
			.set(new WorkspaceItem(WorkspaceName.of("stable"), WorkspaceKeys.hash(KEY), 10_000, 1e9, 5000, 1), 0));
		return write(new TicketDraft(FilingIdentifier.of("first"), "test", "first services", changes));
	}

	Path write(TicketDraft draft) throws IOException {
		return Files.writeString(this.folder.resolve(draft.filing() + ".json"), this.json.writeValueAsString(draft));
	}

	// A node that has just started has no truth yet and refuses to file; filing the same
	// ticket again is safe.
	int file(Path ticket) throws Exception {
		int exit = ExitCode.NOT_KNOWN;
		for (int attempt = 0; attempt < 20 && exit != ExitCode.DONE; attempt++) {
			exit = BinaryProcess.run("ticket", "file", ticket.toString(), "--node",
					this.nodes.get(0).operators().toString());
		}
		return exit;
	}

	List<String> allocatedVms() throws IOException {
		HttpCall call = HttpCall.of(this.platform, "GET", "/v1/objects/allocations?after=&limit=10",
				Duration.ofSeconds(5));
		List<String> vms = new ArrayList<>();
		for (JsonNode object : this.json.readTree(BufferedHttpClient.create(this.pool).call(call).join().body())
			.path("objects")) {
			object.path("value")
				.path("groups")
				.forEach((group) -> group.path("members").forEach((member) -> vms.add(member.asText())));
		}
		return vms;
	}

	List<Long> ticketsInForce(NodeProcess except) throws IOException {
		List<Long> numbers = new ArrayList<>();
		for (NodeProcess node : this.nodes) {
			if (!node.equals(except)) {
				HttpCall call = HttpCall.of(node.operators(), "GET", "/operator/state", Duration.ofSeconds(5));
				numbers.add(this.json.readTree(BufferedHttpClient.create(this.pool).call(call).join().body())
					.path("number")
					.asLong());
			}
		}
		return numbers;
	}

	boolean awaitInForce(long number, int dataCentres) throws Exception {
		OperatorClient operator = OperatorClient.create(BufferedHttpClient.create(this.pool), this.json);
		for (int attempt = 0; attempt < 200; attempt++) {
			TicketRollout force = operator.show(this.nodes.get(0).operators(), number).get();
			boolean everywhere = force.dataCentres()
				.stream()
				.allMatch((one) -> one.nodesKnown() > 0 && one.missing().isEmpty());
			if (everywhere && force.dataCentres().size() == dataCentres) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(100);
		}
		return false;
	}

	boolean awaitServing() throws Exception {
		return awaitServing(this.nodes);
	}

	boolean awaitServing(List<NodeProcess> asked) throws Exception {
		for (int attempt = 0; attempt < 60; attempt++) {
			LoadReport trial = load(asked, Duration.ofMillis(500), 20, 0, attempt);
			this.trials.add(trial.chats() + " refused " + trial.refusals());
			if (trial.chats().keySet().equals(Set.of(CallOutcome.COMPLETED))) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns what callers got in the trials until all were served, for a failure's
	 * message.
	 * @return one line for each trial
	 */
	List<String> trials() {
		return List.copyOf(this.trials);
	}

	LoadReport load(Duration duration, double chats, double orders, long seed) throws InterruptedException {
		return load(this.nodes, duration, chats, orders, seed);
	}

	LoadReport load(List<NodeProcess> asked, Duration duration, double chats, double orders, long seed)
			throws InterruptedException {
		List<Address> callers = asked.stream().map(NodeProcess::callers).toList();
		LoadPlan plan = new LoadPlan(callers, List.of(KEY), "drafting", "order-desk", chats, orders, 24,
				Duration.ofSeconds(10), duration, seed);
		return LoadRunner.create(plan, CallerClient.create(this.pool, this.clock, this.json), this.clock, (line) -> {
		}).run(this::runs);
	}

	private Map<String, Long> runs() {
		return TargetRuns.byKey(BufferedHttpClient.create(this.pool), this.json,
				this.plainTargets.stream().map(PlainTarget::address).toList());
	}

	private static PlainTarget plainTarget(String line) {
		String[] words = line.split(" ");
		String dataCentre = words[2].substring(words[1].length() + 1);
		return new PlainTarget(TargetName.of(words[2]), DataCentreName.of(dataCentre), Address.parse(words[3]));
	}

	@Override
	public void close() throws Exception {
		for (NodeProcess node : this.nodes) {
			node.process().close();
		}
		for (BinaryProcess process : this.slowlyStarted) {
			process.close();
		}
		this.platformLink.close();
		this.standIns.close();
		this.pool.close();
	}

	/**
	 * One node's process and addresses.
	 */
	record NodeProcess(String name, String dataCentre, Address callers, Address operators, Address peers,
			BinaryProcess process) {

		String contact() {
			return this.name + "@" + this.dataCentre + "@" + this.peers;
		}

	}

}
