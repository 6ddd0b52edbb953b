import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/** Sound stand-in of the platform's store: PROTOCOL.md, "The platform's metadata store". */
final class Store implements AutoCloseable {

	private static final String OBJECTS = "/-/objects/";

	static final ObjectMapper JSON = new ObjectMapper();

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work, "store");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final List<Change> changes = new ArrayList<>();

	private long revision = 1;

	/** Changes the bytes of an answer, as they were written by somebody else. */
	volatile UnaryOperator<byte[]> bytes = UnaryOperator.identity();

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
		this.server.createContext(OBJECTS, this::handle);
		this.server.setExecutor(this.threads);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized long write(String kind, String name, JsonNode spec) {
		this.revision++;
		ObjectNode object = JSON.createObjectNode();
		object.putObject("metadata").put("name", name).put("rev", this.revision);
		object.set("spec", spec);
		objects(kind).put(name, object);
		this.changes.add(new Change(kind, this.revision, object, false));
		notifyAll();
		return this.revision;
	}

	synchronized void remove(String kind, String name) {
		delete(kind, name);
	}

	private TreeMap<String, ObjectNode> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (name) -> new TreeMap<>());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String[] path = exchange.getRequestURI().getPath().substring(OBJECTS.length()).split("/");
			String kind = path[0];
			String name = (path.length > 1) ? path[1] : "";
			JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
			Map<String, String> query = query(exchange);
			Reply reply = switch (exchange.getRequestMethod()) {
				case "POST" -> create(kind, body);
				case "PUT" -> replace(kind, name, body);
				case "DELETE" -> delete(kind, name);
				default -> query.containsKey("watch") ? watch(kind, query) : read(kind, name);
			};
			byte[] answer = this.bytes.apply(JSON.writeValueAsBytes(reply.body()));
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(reply.status(), answer.length);
			exchange.getResponseBody().write(answer);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		String text = exchange.getRequestURI().getQuery();
		if (text != null) {
			for (String parameter : text.split("&")) {
				String[] parts = parameter.split("=");
				query.put(parts[0], (parts.length > 1) ? parts[1] : "");
			}
		}
		return query;
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

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private record Change(String kind, long revision, ObjectNode object, boolean deleted) {
	}

	private record Reply(int status, JsonNode body) {
	}

}
