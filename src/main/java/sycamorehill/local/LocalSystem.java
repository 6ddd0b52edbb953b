package sycamorehill.local;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.load.CallOutcome;
import sycamorehill.load.CallerClient;
import sycamorehill.load.LoadPlan;
import sycamorehill.load.LoadReport;
import sycamorehill.load.LoadRunner;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.DataCentreRollout;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketRollout;
import sycamorehill.runtime.MonotonicClock;
import sycamorehill.runtime.Node;
import sycamorehill.settings.NodeSettings;
import sycamorehill.standin.PlainServiceStandIn;
import sycamorehill.standin.StandInCluster;
import sycamorehill.standin.StandInSettings;

/**
 * Three data centres of two nodes with stand-ins of all outside systems, in one process.
 */
public final class LocalSystem implements AutoCloseable {

	private static final List<DataCentreName> DATA_CENTRES = List.of(DataCentreName.of("fukuoka"),
			DataCentreName.of("kumamoto"), DataCentreName.of("kagoshima"));

	private static final int NODES_PER_DATA_CENTRE = 2;

	private static final int ADDRESSES_PER_NODE = 3;

	private static final String SHARED_SECRET = "local-system-shared-secret";

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration FORCE_BOUND = Duration.ofSeconds(20);

	private static final Duration SERVING_BOUND = Duration.ofSeconds(30);

	private static final long POLL_MILLISECONDS = 100;

	private static final int TOKENS = 24;

	private final ObjectMapper json = ModelJson.json();

	private final HttpClientPool clients = HttpClientPool.create(CONNECT_TIMEOUT);

	private final MonotonicClock clock = MonotonicClock.start(Clock.systemUTC());

	private final StandInCluster standIns;

	private final List<Node> nodes = new ArrayList<>();

	private final OperatorClient operator;

	private LocalSystem() {
		this.standIns = StandInCluster.start(StandInSettings.small(DATA_CENTRES, List.of(FirstTicket.ORDERS)));
		this.operator = OperatorClient.create(BufferedHttpClient.create(this.clients), this.json);
	}

	/**
	 * Starts the system.
	 * @return the running system, no ticket filed yet
	 * @throws Exception if a node can't start
	 */
	public static LocalSystem start() throws Exception {
		LocalSystem system = new LocalSystem();
		List<Address> addresses = FreePorts.find(DATA_CENTRES.size() * NODES_PER_DATA_CENTRE * ADDRESSES_PER_NODE);
		for (int number = 0; number < DATA_CENTRES.size() * NODES_PER_DATA_CENTRE; number++) {
			List<Address> own = addresses.subList(number * ADDRESSES_PER_NODE, (number + 1) * ADDRESSES_PER_NODE);
			system.nodes.add(Node.start(system.settings(number, own), Clock.systemUTC()));
		}
		return system;
	}

	/**
	 * Files the first ticket and waits until it is in force in each data centre.
	 * @return where it is in force
	 * @throws Exception if it is not accepted, or not in force in time
	 */
	public TicketRollout fileFirstTicket() throws Exception {
		FilingOutcome outcome = fileUntilAccepted();
		if (!(outcome instanceof FilingOutcome.Accepted accepted)) {
			throw new IllegalStateException("the first ticket was not accepted: " + outcome);
		}
		Instant bound = this.clock.instant().plus(FORCE_BOUND);
		TicketRollout force = show(accepted.number());
		while (!inForce(force) && this.clock.instant().isBefore(bound)) {
			TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
			force = show(accepted.number());
		}
		return force;
	}

	/**
	 * Whether a ticket is in force on every node of every data centre.
	 * @param force where it is in force
	 * @return whether nothing is missing
	 */
	public static boolean inForce(TicketRollout force) {
		return force.dataCentres().size() == DATA_CENTRES.size()
				&& force.dataCentres().stream().allMatch(LocalSystem::everyNode);
	}

	/**
	 * Waits until the model groups serve.
	 * @return whether an answer came in time
	 * @throws Exception if the wait is interrupted
	 */
	public boolean awaitServing() throws Exception {
		Instant bound = this.clock.instant().plus(SERVING_BOUND);
		while (this.clock.instant().isBefore(bound)) {
			LoadReport trial = run(plan(Duration.ofMillis(500), 20, 0, 1));
			if (trial.chats().size() == 1 && trial.chats().containsKey(CallOutcome.COMPLETED)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Puts a small load on the system.
	 * @param duration how long
	 * @param chatsPerSecond completions a second
	 * @param ordersPerSecond orders a second
	 * @param seed of the load
	 * @return what came of it
	 * @throws InterruptedException if the thread is interrupted
	 */
	public LoadReport load(Duration duration, double chatsPerSecond, double ordersPerSecond, long seed)
			throws InterruptedException {
		return run(plan(duration, chatsPerSecond, ordersPerSecond, seed));
	}

	/**
	 * The nodes.
	 * @return the nodes, two of each data centre after another
	 */
	public List<Node> nodes() {
		return List.copyOf(this.nodes);
	}

	/**
	 * The stand-ins.
	 * @return the stand-ins
	 */
	public StandInCluster standIns() {
		return this.standIns;
	}

	private LoadPlan plan(Duration duration, double chatsPerSecond, double ordersPerSecond, long seed) {
		List<Address> callers = this.nodes.stream().map((node) -> node.settings().callerAddress()).toList();
		return new LoadPlan(callers, FirstTicket.KEYS, FirstTicket.CHAT.value(), FirstTicket.ORDERS.value(),
				chatsPerSecond, ordersPerSecond, TOKENS, CALL_TIMEOUT, duration, seed);
	}

	private LoadReport run(LoadPlan plan) throws InterruptedException {
		CallerClient client = CallerClient.create(this.clients, this.clock, this.json);
		return LoadRunner.create(plan, client, this.clock, (line) -> {
		}).run(this::runsByKey);
	}

	private Map<String, Long> runsByKey() {
		Map<String, Long> runs = new LinkedHashMap<>();
		for (PlainServiceStandIn.Run run : this.standIns.plainRuns(FirstTicket.ORDERS)) {
			runs.merge(run.idempotencyKey(), (long) run.count(), Long::sum);
		}
		return runs;
	}

	private FilingOutcome fileUntilAccepted() throws Exception {
		Instant bound = this.clock.instant().plus(FORCE_BOUND);
		FilingOutcome outcome = new FilingOutcome.NotKnown("not filed yet");
		while (!(outcome instanceof FilingOutcome.Accepted) && this.clock.instant().isBefore(bound)) {
			outcome = this.operator
				.file(operatorAddress(0), FirstTicket.create(DATA_CENTRES, this.standIns.plainTargets()))
				.get();
			TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
		}
		return outcome;
	}

	private TicketRollout show(long number) throws InterruptedException, ExecutionException {
		return this.operator.show(operatorAddress(0), number).get();
	}

	private Address operatorAddress(int node) {
		return this.nodes.get(node).settings().operatorAddress();
	}

	private static boolean everyNode(DataCentreRollout force) {
		return force.nodesKnown() > 0 && force.nodesInForce() == force.nodesKnown() && force.missing().isEmpty();
	}

	private NodeSettings settings(int number, List<Address> own) {
		DataCentreName dataCentre = DATA_CENTRES.get(number / NODES_PER_DATA_CENTRE);
		NodeName name = NodeName.of(dataCentre + "-" + (number % NODES_PER_DATA_CENTRE + 1));
		return new NodeSettings(name, dataCentre, DATA_CENTRES, own.get(0), own.get(1), own.get(2),
				this.standIns.platformAddress(), SHARED_SECRET, Policy.standard());
	}

	@Override
	public void close() throws Exception {
		for (Node node : this.nodes) {
			node.close();
		}
		this.standIns.close();
		this.clients.close();
	}

}
