package sycamorehill.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import sycamorehill.model.identity.Address;

/**
 * The platform's store with one configuration, of which new versions come as fast as a
 * test wants, and with targets and nodes.
 */
final class StormStore implements AutoCloseable {

	private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	private final ObjectMapper json = new ObjectMapper();

	private final ExecutorService threads = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work, "storm-store");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	private final List<ObjectNode> targets = new ArrayList<>();

	private final List<ObjectNode> nodes = new ArrayList<>();

	private ObjectNode configuration;

	private long configurationRevision;

	private long revision = 10;

	private StormStore(HttpServer server) {
		this.server = server;
	}

	static StormStore start(List<Address> targetAddresses) throws IOException {
		StormStore store = new StormStore(
				HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100));
		for (int number = 0; number < targetAddresses.size(); number++) {
			ObjectNode spec = store.json.createObjectNode()
				.put("service", "desk")
				.put("address", targetAddresses.get(number).toString())
				.put("zone", "fukuoka")
				.put("batch_slots", 1000)
				.put("state", "ready");
			store.targets.add(store.object("t" + number, spec, 1));
		}
		store.server.setExecutor(store.threads);
		store.server.createContext("/", store::handle);
		store.server.start();
		return store;
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getAddress().getPort());
	}

	/**
	 * Puts a version of the configuration into the store.
	 * @param version its version
	 * @param routes number of its routes
	 */
	synchronized void put(long version, int routes) {
		ObjectNode spec = this.json.createObjectNode().put("version", version);
		ArrayNode list = spec.putArray("routes");
		list.add(route("stream", "streaming", version).put("resumable", true));
		list.add(route("plain", "idempotent", version));
		for (int number = list.size(); number < routes; number++) {
			list.add(route("r" + number + "-" + Long.toString((number * 7_919L) % 1_000_003L, 36), "idempotent",
					version));
		}
		spec.putArray("services").addObject().put("name", "desk").put("max_connections", 1000);
		spec.putObject("limits")
			.put("max_header_bytes", 16_384)
			.put("max_body_bytes", MAXIMUM_BODY_BYTES)
			.put("header_timeout_ms", 20_000)
			.put("idle_timeout_ms", 30_000);
		spec.putArray("tenants").addObject().put("name", "yard").putArray("api_keys").add("key");
		this.revision++;
		this.configurationRevision = this.revision;
		this.configuration = spec;
		notifyAll();
	}

	private ObjectNode route(String name, String kind, long version) {
		return this.json.createObjectNode()
			.put("name", name)
			.put("host", "feed.example")
			.put("path_prefix", '/' + name + '/')
			.put("kind", kind)
			.put("timeout_ms", 60_000 + version)
			.put("target_latency_ms", 300)
			.put("priority", 1)
			.put("service", "desk")
			.put("max_attempts", 2)
			.put("public", false);
	}

	private ObjectNode object(String name, ObjectNode spec, long objectRevision) {
		ObjectNode object = this.json.createObjectNode();
		object.putObject("metadata").put("name", name).put("rev", objectRevision);
		object.set("spec", spec);
		return object;
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		ObjectNode answer = answer(exchange, body);
		byte[] bytes = this.json.writeValueAsBytes(answer);
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized ObjectNode answer(HttpExchange exchange, byte[] body) throws IOException {
		String path = exchange.getRequestURI().getPath();
		String query = String.valueOf(exchange.getRequestURI().getQuery());
		if (!exchange.getRequestMethod().equals("GET")) {
			ObjectNode written = (body.length == 0) ? this.json.createObjectNode()
					: (ObjectNode) this.json.readTree(new String(body, StandardCharsets.UTF_8));
			this.revision++;
			written.withObject("/metadata").put("rev", this.revision);
			if (path.endsWith("/nodes")) {
				this.nodes.add(written);
			}
			return written;
		}
		if (path.endsWith("/group-control")) {
			return object("group-control",
					this.json.createObjectNode().put("holder", "nobody").put("term", 1).put("renewal", 0), 1);
		}
		boolean configurations = path.endsWith("/config");
		if (query.startsWith("watch=")) {
			return changes(Long.parseLong(query.substring("watch=".length(), query.indexOf('&'))),
					Long.parseLong(query.substring(query.indexOf("wait_ms=") + "wait_ms=".length())), configurations);
		}
		ObjectNode list = this.json.createObjectNode().put("at", this.revision).put("has_more", false);
		ArrayNode items = list.putArray("items");
		if (configurations) {
			items.add(object("main", this.configuration, this.configurationRevision));
		}
		else {
			items.addAll(path.endsWith("/servers") ? this.targets : this.nodes);
		}
		return list;
	}

	private ObjectNode changes(long since, long waitMillis, boolean configurations) {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		boolean changed = configurations && this.configurationRevision > since;
		while (!changed && System.nanoTime() < end) {
			try {
				wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
			changed = configurations && this.configurationRevision > since;
		}
		ObjectNode answer = this.json.createObjectNode().put("at", this.revision);
		ArrayNode events = answer.putArray("events");
		if (changed) {
			events.addObject()
				.put("deleted", false)
				.set("object", object("main", this.configuration, this.configurationRevision));
		}
		return answer;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

}
