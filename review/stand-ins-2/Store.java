import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): objects
 * by kind and name, one revision counter, conditional writes, and waiting reads. It
 * answers at once and loses nothing.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final String OBJECTS = "/-/objects/";

	private final ExecutorService threads = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work, "store");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final HttpServer server;

	private long revision = 1;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		this.server.createContext(OBJECTS, this::handle);
		this.server.setExecutor(this.threads);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized void write(String kind, String name, JsonNode spec) {
		ObjectNode present = objects(kind).get(name);
		if (present != null && present.path("spec").equals(spec)) {
			return;
		}
		this.revision++;
		ObjectNode object = JSON.createObjectNode();
		object.putObject("metadata").put("name", name).put("rev", this.revision);
		object.set("spec", spec);
		objects(kind).put(name, object);
		this.changes.add(new Change(kind, this.revision, object, false));
		notifyAll();
	}

	synchronized JsonNode read(String kind, String name) {
		ObjectNode present = objects(kind).get(name);
		return (present != null) ? present.path("spec") : JSON.createObjectNode();
	}

	synchronized Reply remove(String kind, String name) {
		ObjectNode removed = objects(kind).remove(name);
		if (removed == null) {
			return new Reply(404, JSON.createObjectNode());
		}
		this.revision++;
		this.changes.add(new Change(kind, this.revision, removed, true));
		notifyAll();
		return new Reply(200, removed);
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

	private Reply reply(HttpExchange exchange, String kind, String name, JsonNode body) throws InterruptedException {
		Map<String, String> query = query(exchange);
		return switch (exchange.getRequestMethod()) {
			case "POST" -> create(kind, body);
			case "PUT" -> replace(kind, name, body);
			case "DELETE" -> remove(kind, name);
			default -> query.containsKey("watch") ? watch(kind, query) : get(kind, name);
		};
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
		write(kind, name, body.path("spec"));
		return new Reply(200, objects(kind).get(name));
	}

	private synchronized Reply get(String kind, String name) {
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

	record Reply(int status, JsonNode body) {
	}

}
