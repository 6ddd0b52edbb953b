import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Five engines, groups of two, three nodes. One engine leaves joins unanswered and carries
 * the first one out late; the node that gave it is killed in between. Ends with 1 if an
 * engine took a join of another group while the head of its group was open or closing.
 */
public final class LateOrdersTrial implements Engine.OrderRule {

	private static final int ENGINES = 5;

	private static final int NODES = 3;

	/** Joins that get no answer: one of the first holder, then two of the next one. */
	private static final int UNANSWERED = 3;

	/** When the joins of the next holder are carried out; 2 to 12 s are allowed. */
	private static final int LATE_MS = 6000;

	/** Shortest delay of an order that is carried out late. */
	private static final int SHORTEST_LATE_MS = 2000;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Map<String, Engine> fleet = new HashMap<>();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, (work) -> {
		Thread thread = new Thread(work, "timer");
		thread.setDaemon(true);
		return thread;
	});

	private final Trace record;

	private final Store store;

	private final Nodes nodes;

	private String late;

	private JsonNode firstJoin;

	private long firstJoinNanos;

	private int unanswered;

	private int orders;

	private int broken;

	private boolean killed;

	private LateOrdersTrial(Path folder) throws Exception {
		this.record = new Trace(folder.resolve("record.txt"));
		this.store = new Store();
		this.nodes = new Nodes(Files.createTempDirectory("late-orders"), this.store.address(), this.record);
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		LateOrdersTrial trial = new LateOrdersTrial(Path.of(arguments[0]));
		try {
			status = trial.run();
		}
		catch (Exception ex) {
			trial.record.write("could not run: " + ex);
		}
		finally {
			trial.nodes.close();
		}
		trial.record.write("exit " + status);
		System.exit(status);
	}

	private int run() throws Exception {
		this.store.write("config", "main", configuration());
		for (int number = 1; number <= ENGINES; number++) {
			new Engine("engine-" + number, this.store, this.fleet, this, this.timer, this.record);
		}
		for (int number = 1; number <= NODES; number++) {
			this.nodes.start("front-" + number, true);
		}
		for (int number = 1; number <= NODES; number++) {
			this.nodes.get("front-" + number).awaitReady(20);
		}
		for (double end = this.record.seconds() + 25; this.record.seconds() < end;) {
			TimeUnit.MILLISECONDS.sleep(50);
			if (this.trouble && this.firstJoin != null && !this.killed) {
				killHolder();
			}
		}
		this.record.write(this.orders + " orders, " + this.unanswered + " of them got no answer; TWO broken "
				+ this.broken + " times");
		if (this.broken > 0) {
			return 1;
		}
		boolean reached = !this.trouble || (this.killed && this.unanswered >= 2);
		return (reached && this.orders >= ENGINES) ? 0 : 2;
	}

	private void killHolder() throws InterruptedException {
		String holder = this.store.read("duties", "group-control").path("holder").asText();
		if (holder.isEmpty()) {
			return;
		}
		this.killed = true;
		this.nodes.get(holder.split("#")[0]).kill();
	}

	private ObjectNode configuration() {
		ObjectNode spec = Store.JSON.createObjectNode().put("version", 1);
		spec.putArray("routes")
			.addObject()
			.put("name", "drafts")
			.put("host", "drafts.example")
			.put("path_prefix", "/drafts/")
			.put("kind", "streaming")
			.put("timeout_ms", 8000)
			.put("target_latency_ms", 400)
			.put("priority", 1)
			.put("service", "engines")
			.put("max_attempts", 2)
			.put("public", true)
			.put("sticky_sessions", true)
			.put("resumable", true)
			.put("target_gap_ms", 300);
		ObjectNode service = spec.putArray("services").addObject().put("name", "engines").put("max_connections", 288);
		service.put("health_path", "/health");
		ObjectNode engine = service.putObject("engine")
			.put("batch_slots", 12)
			.put("kv_capacity", 1312941)
			.put("stride", 5)
			.put("step_ms", 7.8)
			.put("per_seq_ms", 0.134)
			.put("context_per_k", 0.0136)
			.put("read_per_s", 45900.0)
			.put("pairs_per_m", 0.433)
			.put("chunk", 2048)
			.put("report_lag_ms", 200.0)
			.put("loads_per_s", 5.0)
			.put("loads_at_once", 7)
			.put("cached_prefixes", 1)
			.put("far_x", 3.0)
			.put("form_ms", 300.0);
		engine.putArray("models")
			.addObject()
			.put("name", Engine.MODEL)
			.put("size", 2)
			.put("share", 1.0)
			.put("pace", 1.0)
			.put("load_s", 12.0)
			.put("warm_s", 1.1);
		engine.putObject("usual").put("prompt", 979).put("answer", 154);
		spec.putObject("limits")
			.put("max_header_bytes", 16384)
			.put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000)
			.put("idle_timeout_ms", 15000);
		return spec;
	}

	// The second member of the second group is late: its first join until another holder
	// has given it one as well.
	@Override
	public synchronized boolean holdsBack(Engine engine, JsonNode order) {
		this.orders++;
		if (!this.trouble || !order.path("operation").asText().equals("join")) {
			return false;
		}
		if (this.late == null && engine.id.equals(order.path("members").path(1).asText())) {
			this.late = engine.id;
		}
		if (!engine.id.equals(this.late) || this.unanswered == UNANSWERED) {
			return false;
		}
		boolean sameGroup = this.firstJoin != null
				&& this.firstJoin.path("group").asText().equals(order.path("group").asText());
		if (sameGroup) {
			return false;
		}
		this.unanswered++;
		this.record.write(engine.id + " " + Engine.describe(order) + " gets no answer");
		if (this.firstJoin == null) {
			this.firstJoin = order;
			this.firstJoinNanos = System.nanoTime();
			return true;
		}
		if (this.unanswered == 2) {
			long sinceMillis = (System.nanoTime() - this.firstJoinNanos) / 1_000_000;
			carryOutLate(engine, this.firstJoin, Math.max(50, SHORTEST_LATE_MS - sinceMillis));
		}
		carryOutLate(engine, order, LATE_MS);
		return true;
	}

	private void carryOutLate(Engine engine, JsonNode order, long millis) {
		this.timer.schedule(() -> engine.carryOut(order, " (carried out late)"), millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void joinedTwice(Engine engine, Engine.Group before, String headState, JsonNode order) {
		this.broken++;
		this.record.write("TWO: " + engine.id + " takes a join of " + order.path("group").asText()
				+ " while the head " + before.members.get(0) + " of its group " + before.name + " is " + headState);
	}

}
