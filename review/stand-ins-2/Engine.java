import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a model engine (PROTOCOL.md, "Requests" and "Engines"): registers itself in
 * the store, reports, and takes orders to join, open, close and leave groups. Its host
 * holds the model's weights.
 */
final class Engine {

	static final String MODEL = "model";

	private static final long JOIN_MS = 200;

	private static final long WARM_MS = 1100;

	private static final long FORM_MS = 300;

	private static final long STALL_MS = 5000;

	final String id;

	private final Store store;

	private final Trace record;

	private final Map<String, Engine> fleet;

	private final OrderRule rule;

	private final ScheduledExecutorService timer;

	private final HttpServer server;

	private final long born = System.currentTimeMillis();

	private int sequence;

	private long highestEpoch;

	private Group group;

	private boolean hadGroup;

	private int beats;

	/** Decides what becomes of an order. */
	interface OrderRule {

		/**
		 * Returns whether an order gets no answer and is carried out later.
		 * @param engine the engine that gets it
		 * @param order the order
		 * @return true if the rule carries it out itself
		 */
		boolean holdsBack(Engine engine, JsonNode order);

		/** Told when an engine takes a join while the head of its group serves. */
		void joinedTwice(Engine engine, Group before, String headState, JsonNode order);

	}

	/** Membership in a group. */
	static final class Group {

		final String name;

		final long epoch;

		final List<String> members;

		final int rank;

		String state = "joining";

		Group(String name, long epoch, List<String> members, int rank) {
			this.name = name;
			this.epoch = epoch;
			this.members = members;
			this.rank = rank;
		}

		boolean is(String otherName, long otherEpoch) {
			return this.name.equals(otherName) && this.epoch == otherEpoch;
		}

	}

	Engine(String id, Store store, Map<String, Engine> fleet, OrderRule rule, ScheduledExecutorService timer,
			Trace record) throws IOException {
		this.id = id;
		this.store = store;
		this.fleet = fleet;
		this.rule = rule;
		this.timer = timer;
		this.record = record;
		ExecutorService threads = Executors.newCachedThreadPool((work) -> {
			Thread thread = new Thread(work, id);
			thread.setDaemon(true);
			return thread;
		});
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		this.server.createContext("/", this::handle);
		this.server.setExecutor(threads);
		this.server.start();
		fleet.put(id, this);
		register();
	}

	private void register() {
		ObjectNode entry = Store.JSON.createObjectNode()
			.put("service", "engines")
			.put("address", "127.0.0.1:" + this.server.getAddress().getPort())
			.put("zone", "north")
			.put("version", "v1")
			.put("batch_slots", 12)
			.put("state", "ready")
			.put("warmup_left_ms", 0)
			.put("sequence", ++this.beats);
		describe(entry);
		this.store.write("servers", this.id, entry);
	}

	private void describe(ObjectNode report) {
		report.put("stage", "colocated").put("born", this.born).put("domain", "rack-1");
		report.putArray("staged").add(MODEL);
		var models = report.putArray("models");
		if (this.hadGroup) {
			models.addObject().put("name", MODEL).put("version", 1).putArray("adapters");
		}
		if (this.group != null) {
			report.putObject("group")
				.put("name", this.group.name)
				.put("epoch", this.group.epoch)
				.put("rank", this.group.rank)
				.put("state", this.group.state);
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
			if (expected != null && !expected.equals(this.id)) {
				answer(exchange, 421, Store.JSON.createObjectNode());
			}
			else if (exchange.getRequestURI().getPath().equals("/-/report")) {
				answer(exchange, 200, report());
			}
			else if (exchange.getRequestURI().getPath().equals("/-/order")) {
				JsonNode order = Store.JSON.readTree(exchange.getRequestBody());
				if (this.rule.holdsBack(this, order)) {
					TimeUnit.SECONDS.sleep(20);
					return;
				}
				answer(exchange, carryOut(order, ""), Store.JSON.createObjectNode());
			}
			else {
				answer(exchange, 200, Store.JSON.createObjectNode());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = Store.JSON.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.getResponseHeaders().set("Instance-Id", this.id);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	private ObjectNode report() {
		synchronized (this.fleet) {
			ObjectNode report = Store.JSON.createObjectNode();
			describe(report);
			return report.put("busy", false)
				.put("sequence", this.sequence)
				.put("queued", 0)
				.put("running", 0)
				.put("kv_used", 0)
				.put("kv_total", 1312941)
				.put("handles", 0)
				.put("pace", 1);
		}
	}

	/**
	 * Carries an order out, or rejects it.
	 * @param order the order
	 * @param remark a remark for the record
	 * @return the status of the answer
	 */
	int carryOut(JsonNode order, String remark) {
		synchronized (this.fleet) {
			int status = switch (order.path("operation").asText()) {
				case "join" -> join(order);
				case "open" -> open(order);
				case "close" -> close(order);
				case "leave" -> leave(order);
				case "stage" -> 200;
				default -> 400;
			};
			this.record.write(this.id + " " + describe(order) + " -> " + status + remark);
			return status;
		}
	}

	static String describe(JsonNode order) {
		return order.path("operation").asText() + " " + order.path("group").asText() + " epoch="
				+ order.path("epoch").asLong()
				+ (order.has("members") ? " members=" + order.path("members") : "")
				+ (order.has("expected") ? " expected=" + order.path("expected") : "");
	}

	private boolean fitsCount(JsonNode order) {
		return !order.has("expected") || order.path("expected").asInt() == this.sequence;
	}

	private int join(JsonNode order) {
		String name = order.path("group").asText();
		long epoch = order.path("epoch").asLong();
		List<String> members = new ArrayList<>();
		order.path("members").forEach((member) -> members.add(member.asText()));
		boolean same = this.group != null && this.group.is(name, epoch);
		if (epoch < this.highestEpoch || (same && !this.group.members.equals(members))) {
			return 412;
		}
		if (same) {
			return 200;
		}
		if (!fitsCount(order)) {
			return 409;
		}
		if (this.group != null) {
			checkHead(order);
		}
		this.sequence++;
		this.highestEpoch = epoch;
		Group joined = new Group(name, epoch, members, members.indexOf(this.id));
		replaceGroup(joined);
		this.timer.schedule(() -> become(joined, "joining", "ready"), this.hadGroup ? JOIN_MS : WARM_MS,
				TimeUnit.MILLISECONDS);
		return 202;
	}

	private void checkHead(JsonNode order) {
		Engine head = this.fleet.get(this.group.members.get(0));
		if (head != null && head.group != null && head.group.is(this.group.name, this.group.epoch)
				&& (head.group.state.equals("open") || head.group.state.equals("closing"))) {
			this.rule.joinedTwice(this, this.group, head.group.state, order);
		}
	}

	private void replaceGroup(Group next) {
		Group before = this.group;
		this.group = next;
		register();
		if (before != null && before.rank > 0) {
			Engine head = this.fleet.get(before.members.get(0));
			this.timer.schedule(() -> head.breakGroup(before), STALL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void breakGroup(Group lost) {
		synchronized (this.fleet) {
			if (this.group != null && this.group.is(lost.name, lost.epoch) && !this.group.state.equals("joining")) {
				this.group.state = "broken";
				register();
				this.record.write(this.id + " broken in " + lost.name);
			}
		}
	}

	private void become(Group joined, String from, String to) {
		synchronized (this.fleet) {
			if (this.group == joined && joined.state.equals(from)) {
				joined.state = to;
				this.hadGroup = true;
				register();
				this.record.write(this.id + " " + to + " in " + joined.name);
			}
		}
	}

	private boolean names(JsonNode order) {
		return this.group != null && this.group.is(order.path("group").asText(), order.path("epoch").asLong());
	}

	private int open(JsonNode order) {
		if (!names(order) || this.group.rank != 0 || !fitsCount(order)) {
			return 409;
		}
		if (this.group.state.equals("open")) {
			return 200;
		}
		if (!this.group.state.equals("ready")) {
			return 409;
		}
		this.sequence++;
		Group opened = this.group;
		this.timer.schedule(() -> become(opened, "ready", "open"), FORM_MS, TimeUnit.MILLISECONDS);
		return 202;
	}

	private int close(JsonNode order) {
		if (!names(order) || this.group.rank != 0 || !this.group.state.equals("open")) {
			return 409;
		}
		this.sequence++;
		this.group.state = "ready";
		register();
		return 202;
	}

	private int leave(JsonNode order) {
		if (!names(order)) {
			return 409;
		}
		this.sequence++;
		replaceGroup(null);
		return 200;
	}

}
