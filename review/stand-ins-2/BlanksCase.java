import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two entry nodes before two targets of one service. One target spoils one answer in 50:
 * a run of blanks stands inside the value of a header. Counts the orders that have no
 * answer half a second after their route's timeout, and those that targets begin to run
 * over half a second after their clients have left.
 *
 * Arguments: the run line of the deploy file, a temporary folder, the record, "1" for the
 * disruption.
 */
public final class BlanksCase {

	private static final int NODES = 2;
	private static final int TIMEOUT_MILLIS = 2500;
	private static final int DEADLINE_MILLIS = 6000;
	private static final int WORK_MILLIS = 200;
	private static final int REQUESTS_PER_SECOND = 30;
	private static final int TRAFFIC_SECONDS = 40;
	private static final int TROUBLE_AT_SECOND = 10;
	private static final int TROUBLE_SECONDS = 5;
	/** Share of the answers that are spoiled: 0.02, as "garble" has it. */
	private static final int ANSWERS_PER_SPOILT_ONE = 50;
	private static final int BLANKS = Integer.getInteger("blanks", 50_000);

	private static final ObjectMapper JSON = new ObjectMapper();
	private static final ExecutorService THREADS = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work);
		thread.setDaemon(true);
		return thread;
	});
	private static final long START = System.nanoTime();
	private static PrintStream record;
	private static volatile boolean spoiling;

	private BlanksCase() {
	}

	static synchronized void note(String line) {
		record.printf("%9.3f %s%n", (System.nanoTime() - START) / 1e9, line);
		record.flush();
	}

	public static void main(String[] arguments) throws Exception {
		String[] run = arguments[0].trim().split(" +");
		Path folder = Path.of(arguments[1]);
		record = new PrintStream(Files.newOutputStream(Path.of(arguments[2])));
		boolean trouble = arguments[3].equals("1");
		List<Process> processes = new CopyOnWriteArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
		int result = 2;
		try {
			result = play(run, folder, trouble, processes);
		}
		catch (Throwable ex) {
			note("the case could not run: " + ex);
			ex.printStackTrace();
		}
		finally {
			for (Process process : processes) {
				process.destroyForcibly();
				process.waitFor();
			}
			record.close();
		}
		System.exit(result);
	}

	private static int play(String[] run, Path folder, boolean trouble, List<Process> processes) throws Exception {
		Store store = new Store();
		List<Engine> engines = new ArrayList<>();
		for (int number = 1; number <= 2; number++) {
			Engine engine = new Engine("desk-" + number);
			engines.add(engine);
			store.write("servers", engine.name, engine.entry());
		}
		store.write("config", "main", configuration());
		List<Node> nodes = new ArrayList<>();
		for (int number = 1; number <= NODES; number++) {
			Node node = new Node("front-" + number, freePorts(), store.address());
			nodes.add(node);
			Path settings = folder.resolve(node.name + ".conf");
			Files.writeString(settings, node.settings());
			ProcessBuilder builder = new ProcessBuilder(run);
			builder.environment().put("SYCAMOREHILL_CONFIG", settings.toString());
			builder.redirectErrorStream(true).redirectOutput(folder.resolve(node.name + ".log").toFile());
			processes.add(builder.start());
		}
		for (Node node : nodes) {
			node.awaitReady();
		}
		note("both nodes are ready");
		Thread.sleep(4000);
		for (Node node : nodes) {
			THREADS.execute(node::probe);
		}
		List<Request> requests = new ArrayList<>();
		long begin = System.nanoTime();
		int total = REQUESTS_PER_SECOND * TRAFFIC_SECONDS;
		for (int number = 0; number < total; number++) {
			long due = begin + number * 1_000_000_000L / REQUESTS_PER_SECOND;
			long left = due - System.nanoTime();
			if (left > 0) {
				TimeUnit.NANOSECONDS.sleep(left);
			}
			int second = number / REQUESTS_PER_SECOND;
			if (Engine.troubled == null && second == TROUBLE_AT_SECOND) {
				Engine.troubled = engines.stream().max(Comparator.comparingInt((engine) -> engine.runs.get())).get();
			}
			spoiling = trouble && second >= TROUBLE_AT_SECOND && second < TROUBLE_AT_SECOND + TROUBLE_SECONDS;
			Request request = new Request(number, nodes.get(number % NODES));
			requests.add(request);
			THREADS.execute(request::send);
		}
		Thread.sleep(DEADLINE_MILLIS + 1500);
		return judge(requests, processes);
	}

	private static int judge(List<Request> requests, List<Process> processes) {
		int answered = 0;
		int unsent = 0;
		int late = 0;
		int unanswered = 0;
		int unansweredThoughAnswered = 0;
		int abandoned = 0;
		for (Request request : requests) {
			if (request.sentNanos == 0) {
				unsent++;
				note("request " + request.identifier + " not sent: " + request.outcome);
				continue;
			}
			double millis = (request.answeredNanos == 0) ? Double.MAX_VALUE
					: (request.answeredNanos - request.sentNanos) / 1e6;
			Long begun = Engine.BEGUN.get(request.identifier);
			boolean runAbandoned = begun != null && request.leftNanos != 0
					&& begun - request.leftNanos > 500_000_000L;
			abandoned += runAbandoned ? 1 : 0;
			Long made = Engine.MADE.get(request.identifier);
			String engine = (made == null) ? "ran nowhere"
					: String.format("target answered after %.0f ms", (made - request.sentNanos) / 1e6);
			answered += (request.status == 200) ? 1 : 0;
			if (millis > TIMEOUT_MILLIS) {
				late++;
				boolean missing = millis > TIMEOUT_MILLIS + 500;
				unanswered += missing ? 1 : 0;
				unansweredThoughAnswered += (missing && made != null) ? 1 : 0;
			}
			note("request " + request.identifier + " at " + request.node.name + " sent="
					+ String.format("%.3f", (request.sentNanos - START) / 1e9) + " status=" + request.status
					+ " millis=" + ((request.answeredNanos == 0) ? "none" : String.format("%.0f", millis)) + " "
					+ engine + (runAbandoned ? ", begun over half a second after its client had left" : "") + " "
					+ request.outcome);
		}
		for (Process process : processes) {
			note("process " + process.pid() + " alive=" + process.isAlive());
		}
		note("spoilt answers: " + Engine.SPOILT.get());
		note("requests=" + requests.size() + " not-sent=" + unsent + " status-200=" + answered
				+ " unanswered-at-timeout=" + late + " of-these-unanswered-half-a-second-later=" + unanswered
				+ " of-these-answered-by-the-target=" + unansweredThoughAnswered
				+ " run-over-half-a-second-after-the-client-had-left=" + abandoned);
		boolean broken = unanswered >= 8 && 4 * unanswered > late;
		note(broken ? "CONFIG is broken" : "CONFIG held");
		System.out.println("requests=" + requests.size() + " status-200=" + answered + " unanswered-at-timeout=" + late
				+ " half-a-second-later=" + unanswered + " run-after-the-client-had-left=" + abandoned + " spoilt-answers=" + Engine.SPOILT.get() + " -> "
				+ (broken ? "CONFIG is broken" : "CONFIG held"));
		if (!broken && answered < requests.size() * 9 / 10) {
			return 2;
		}
		return broken ? 1 : 0;
	}

	private static ObjectNode configuration() {
		ObjectNode spec = JSON.createObjectNode().put("version", 1);
		ObjectNode route = spec.putArray("routes").addObject();
		route.put("name", "orders").put("host", "desk.example").put("path_prefix", "/orders/");
		route.put("kind", "non_idempotent").put("timeout_ms", TIMEOUT_MILLIS).put("target_latency_ms", 1000);
		route.put("priority", 1).put("service", "desk").put("max_attempts", 2).put("public", true);
		route.put("sticky_sessions", false).put("resumable", false);
		spec.putArray("services").addObject().put("name", "desk").put("max_connections", 96).put("health_path",
				"/health");
		spec.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 4194304)
				.put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
		return spec;
	}

	private static int[] freePorts() throws IOException {
		while (true) {
			try (ServerSocket one = local(0); ServerSocket two = local(0); ServerSocket three = local(0)) {
				try (ServerSocket four = local(three.getLocalPort() + 1)) {
					return new int[] { one.getLocalPort(), two.getLocalPort(), three.getLocalPort(),
							four.getLocalPort() };
				}
			}
			catch (IOException ex) {
				// Not two neighbours; try others.
			}
		}
	}

	private static ServerSocket local(int port) throws IOException {
		return new ServerSocket(port, 512, InetAddress.getByName("127.0.0.1"));
	}

	/** An entry node. */
	private static final class Node {

		final String name;
		final int front;
		final int ready;
		final int firstPort;
		final String store;

		Node(String name, int[] ports, String store) {
			this.name = name;
			this.front = ports[0];
			this.ready = ports[1];
			this.firstPort = ports[2];
			this.store = store;
		}

		String settings() {
			return "node_name=" + this.name + "\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\n"
					+ "zone=north\nregion=east\nzones.north=east\nbind.front=127.0.0.1:" + this.front
					+ "\nbind.ready=127.0.0.1:" + this.ready + "\nport_range=" + this.firstPort + ","
					+ (this.firstPort + 1) + "\nfirst_start=true\nlimits.cpu_share=0.75\nlimits.cpu_cores=1\n"
					+ "limits.memory_mb=430\nlimits.max_fds=4200\nheartbeat_ms=1200\nbounds.contact_ms=3000\n"
					+ "bounds.drain_ms=2000\nbounds.grace_period_s=8\nbounds.config_apply_ms=2000\n"
					+ "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_extra=103\n"
					+ "bounds.stall_ms=5000\nbounds.ceiling_window_s=5\nbounds.origin_overshoot=1.1\n"
					+ "platform.address=" + this.store + "\nplatform.form=objects\nplatform.writes_per_s=400\n"
					+ "platform.reads_per_s=2000\n";
		}

		void awaitReady() throws Exception {
			for (int trial = 0; trial < 300; trial++) {
				if (isReady()) {
					return;
				}
				Thread.sleep(100);
			}
			throw new IllegalStateException(this.name + " does not become ready");
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", this.ready), 1000);
				socket.setSoTimeout(1000);
				socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n".getBytes());
				return new String(socket.getInputStream().readNBytes(12)).endsWith("200");
			}
			catch (IOException ex) {
				return false;
			}
		}

		void probe() {
			try {
				boolean before = true;
				while (true) {
					boolean now = isReady();
					if (now != before) {
						note(this.name + (now ? " answers that it is ready" : " does not answer that it is ready"));
						before = now;
					}
					Thread.sleep(1000);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	/** A client's request on a connection of its own. */
	private static final class Request {

		final String identifier;
		final Node node;
		volatile long sentNanos;
		volatile long answeredNanos;
		/** When the client closed its connection without an answer. */
		volatile long leftNanos;
		volatile int status;
		volatile String outcome = "";

		Request(int number, Node node) {
			this.identifier = String.format("a%015x", number + 1);
			this.node = node;
		}

		void send() {
			try (Socket socket = new Socket()) {
				socket.setTcpNoDelay(true);
				socket.connect(new InetSocketAddress("127.0.0.1", this.node.front), 1000);
				byte[] body = ("{\"order\":\"" + this.identifier + "\"}").getBytes();
				String head = "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + this.identifier
						+ "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: " + body.length + "\r\n\r\n";
				OutputStream out = socket.getOutputStream();
				ByteArrayOutputStream bytes = new ByteArrayOutputStream();
				bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
				bytes.writeBytes(body);
				out.write(bytes.toByteArray());
				this.sentNanos = System.nanoTime();
				socket.setSoTimeout(DEADLINE_MILLIS);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				Map<String, String> headers = new HashMap<>();
				String line = readHead(in, headers);
				byte[] content = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
				this.answeredNanos = System.nanoTime();
				this.status = Integer.parseInt(line.split(" ")[1]);
				this.outcome = (this.status == 200) ? "" : new String(content).trim();
			}
			catch (Exception ex) {
				this.outcome = "no answer: " + ex.getMessage();
			}
			this.leftNanos = (this.answeredNanos == 0) ? System.nanoTime() : 0;
		}

	}

	static String readHead(InputStream in, Map<String, String> headers) throws IOException {
		String first = readLine(in);
		if (first == null) {
			throw new IOException("closed");
		}
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
		}
		return first;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = in.read(); value != '\n'; value = in.read()) {
			if (value < 0) {
				return null;
			}
			if (value != '\r') {
				line.write(value);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** A target of the service. */
	private static final class Engine {

		/** When a target began to run an order. */
		static final Map<String, Long> BEGUN = new ConcurrentHashMap<>();
		/** When it had made the answer. */
		static final Map<String, Long> MADE = new ConcurrentHashMap<>();
		static final AtomicInteger SPOILT = new AtomicInteger();
		final String name;
		private final ServerSocket server = local(0);
		private final AtomicInteger runs = new AtomicInteger();
		private final AtomicInteger answers = new AtomicInteger();
		/** The target in trouble: the one that has run more orders. */
		private static volatile Engine troubled;

		Engine(String name) throws IOException {
			this.name = name;
			THREADS.execute(this::accept);
		}

		ObjectNode entry() {
			return JSON.createObjectNode().put("service", "desk").put("address",
					"127.0.0.1:" + this.server.getLocalPort()).put("zone", "north").put("version", "v1")
					.put("batch_slots", 24).put("state", "ready").put("warmup_left_ms", 0).put("sequence", 1)
					.put("born", 1_700_000_000_000L);
		}

		private void accept() {
			try {
				while (true) {
					Socket socket = this.server.accept();
					THREADS.execute(() -> serve(socket));
				}
			}
			catch (IOException ex) {
				note(this.name + " accepts no more: " + ex);
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				while (true) {
					Map<String, String> headers = new HashMap<>();
					String first = readHead(in, headers);
					in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
					out.write(answer(first, headers));
					out.flush();
				}
			}
			catch (IOException | InterruptedException ex) {
				// The caller has closed the connection.
			}
		}

		private byte[] answer(String first, Map<String, String> headers) throws InterruptedException {
			if (!headers.getOrDefault("expect-instance", this.name).equals(this.name)) {
				return "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".getBytes();
			}
			if (first.startsWith("GET /health")) {
				return ("HTTP/1.1 200 OK\r\nInstance-Id: " + this.name + "\r\nContent-Length: 0\r\n\r\n").getBytes();
			}
			String identifier = headers.get("attempt-id");
			if (identifier == null) {
				return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".getBytes();
			}
			this.runs.incrementAndGet();
			BEGUN.put(identifier, System.nanoTime());
			Thread.sleep(WORK_MILLIS);
			byte[] body = ("{\"booked\":\"" + identifier + "\"}").getBytes();
			String connection = "keep-alive";
			if (spoiling && this == troubled && this.answers.getAndIncrement() % ANSWERS_PER_SPOILT_ONE == 0) {
				SPOILT.incrementAndGet();
				connection = "keep-" + " ".repeat(BLANKS) + "alive";
				note(this.name + " spoils its answer to " + identifier + ": " + BLANKS + " blanks in a header");
			}
			MADE.put(identifier, System.nanoTime());
			return ("HTTP/1.1 200 OK\r\nAttempt-Id: " + identifier + "\r\nServer-Signature: " + this.name + "."
					+ identifier + "\r\nConnection: " + connection + "\r\nContent-Type: application/json\r\n"
					+ "Content-Length: " + body.length + "\r\n\r\n" + new String(body)).getBytes();
		}

	}

	/** The platform's store. */
	private static final class Store {

		private static final String OBJECTS = "/-/objects/";
		private final HttpServer server;
		private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
		private final List<Change> changes = new ArrayList<>();
		private long revision = 1;

		Store() throws IOException {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
			this.server.createContext(OBJECTS, this::handle);
			this.server.setExecutor(THREADS);
			this.server.start();
		}

		String address() {
			return "127.0.0.1:" + this.server.getAddress().getPort();
		}

		synchronized void write(String kind, String name, JsonNode spec) {
			this.revision++;
			ObjectNode object = JSON.createObjectNode();
			object.putObject("metadata").put("name", name).put("rev", this.revision);
			object.set("spec", spec);
			objects(kind).put(name, object);
			this.changes.add(new Change(kind, this.revision, object, false));
			notifyAll();
		}

		private TreeMap<String, ObjectNode> objects(String kind) {
			return this.kinds.computeIfAbsent(kind, (name) -> new TreeMap<>());
		}

		private void handle(HttpExchange exchange) throws IOException {
			try (exchange) {
				String[] path = exchange.getRequestURI().getPath().substring(OBJECTS.length()).split("/");
				JsonNode body = JSON.readTree(exchange.getRequestBody());
				Reply reply = reply(exchange, path[0], (path.length > 1) ? path[1] : "", body);
				byte[] bytes = JSON.writeValueAsBytes(reply.body());
				exchange.getResponseHeaders().set("Content-Type", "application/json");
				exchange.sendResponseHeaders(reply.status(), bytes.length);
				exchange.getResponseBody().write(bytes);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private Reply reply(HttpExchange exchange, String kind, String name, JsonNode body)
				throws InterruptedException {
			Map<String, String> query = new HashMap<>();
			String text = exchange.getRequestURI().getQuery();
			if (text != null) {
				for (String parameter : text.split("&")) {
					String[] parts = parameter.split("=");
					query.put(parts[0], (parts.length > 1) ? parts[1] : "");
				}
			}
			return switch (exchange.getRequestMethod()) {
				case "POST" -> create(kind, body);
				case "PUT" -> replace(kind, name, body);
				case "DELETE" -> delete(kind, name);
				default -> query.containsKey("watch") ? watch(kind, query) : read(kind, name);
			};
		}

		private synchronized Reply create(String kind, JsonNode body) {
			String name = body.path("metadata").path("name").asText();
			ObjectNode present = objects(kind).get(name);
			if (present != null) {
				return new Reply(409, present);
			}
			write(kind, name, body.path("spec"));
			return new Reply(201, objects(kind).get(name));
		}

		private synchronized Reply replace(String kind, String name, JsonNode body) {
			ObjectNode present = objects(kind).get(name);
			if (present == null) {
				return new Reply(404, JSON.createObjectNode());
			}
			JsonNode expected = body.path("metadata").path("rev");
			if (expected.isNumber() && expected.asLong() != present.path("metadata").path("rev").asLong()) {
				return new Reply(409, present);
			}
			if (!present.path("spec").equals(body.path("spec"))) {
				write(kind, name, body.path("spec"));
			}
			return new Reply(200, objects(kind).get(name));
		}

		private synchronized Reply delete(String kind, String name) {
			ObjectNode removed = objects(kind).remove(name);
			if (removed == null) {
				return new Reply(404, JSON.createObjectNode());
			}
			this.revision++;
			this.changes.add(new Change(kind, this.revision, removed, true));
			notifyAll();
			return new Reply(200, removed);
		}

		private synchronized Reply read(String kind, String name) {
			if (!name.isEmpty()) {
				ObjectNode present = objects(kind).get(name);
				return (present != null) ? new Reply(200, present) : new Reply(404, JSON.createObjectNode());
			}
			ObjectNode page = JSON.createObjectNode();
			page.putArray("items").addAll(objects(kind).values());
			return new Reply(200, page.put("has_more", false).put("at", this.revision));
		}

		private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
			long since = Long.parseLong(query.get("watch"));
			long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
			ArrayNode events = events(kind, since);
			for (long left = end - System.nanoTime(); events.isEmpty() && left > 0; left = end - System.nanoTime()) {
				wait(Math.max(1, left / 1_000_000));
				events = events(kind, since);
			}
			ObjectNode page = JSON.createObjectNode();
			page.set("events", events);
			return new Reply(200, page.put("at", this.revision));
		}

		private ArrayNode events(String kind, long since) {
			ArrayNode events = JSON.createArrayNode();
			for (Change change : this.changes) {
				if (change.kind().equals(kind) && change.revision() > since) {
					events.addObject().put("deleted", change.deleted()).set("object", change.object());
				}
			}
			return events;
		}

		private record Change(String kind, long revision, ObjectNode object, boolean deleted) {
		}

		private record Reply(int status, JsonNode body) {
		}

	}

}
