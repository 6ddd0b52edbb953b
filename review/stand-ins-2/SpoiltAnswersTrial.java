import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Clients call a service of three servers through two nodes; one of the servers spoils one
 * answer in twenty, in the way that the second argument names. Ends with 1 if a client
 * gets a success that isn't the server's whole answer, or if an order is refused as not
 * run that was run, or is run twice.
 */
public final class SpoiltAnswersTrial {

	private static final int CLIENTS = 12;

	private static final int REQUESTS = 100;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Desk.Fault fault;

	private final Trace trace;

	private final Store store;

	private final Nodes nodes;

	private final AtomicReference<Desk> spoiler = new AtomicReference<>();

	private final List<Desk> desks = new ArrayList<>();

	private final AtomicInteger successes = new AtomicInteger();

	private final AtomicInteger others = new AtomicInteger();

	private final AtomicInteger wrong = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger twice = new AtomicInteger();

	private SpoiltAnswersTrial(Path folder, Desk.Fault fault) throws Exception {
		this.fault = this.trouble ? fault : Desk.Fault.NONE;
		this.trace = new Trace(folder.resolve("record.txt"));
		this.store = new Store();
		this.nodes = new Nodes(Files.createTempDirectory("spoilt-answers"), this.store.address(), this.trace);
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		SpoiltAnswersTrial trial = new SpoiltAnswersTrial(Path.of(arguments[0]),
				Desk.Fault.valueOf(arguments[1]));
		try {
			status = trial.run();
		}
		catch (Exception ex) {
			trial.trace.write("could not run: " + ex);
		}
		finally {
			trial.nodes.close();
		}
		trial.trace.write("exit " + status);
		System.exit(status);
	}

	private int run() throws Exception {
		this.store.write("config", "main", configuration());
		for (int number = 1; number <= 3; number++) {
			this.desks.add(new Desk("desk-" + number, this.fault, this.spoiler, this.store, this.trace));
		}
		this.nodes.start("front-1", true).awaitReady(20);
		this.nodes.start("front-2", true).awaitReady(20);
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < CLIENTS; number++) {
			int client = number;
			Thread thread = new Thread(() -> call(client), "client-" + number);
			thread.start();
			clients.add(thread);
		}
		for (Thread thread : clients) {
			thread.join();
		}
		Desk spoiling = this.spoiler.get();
		int spoilt = (spoiling == null) ? 0 : spoiling.spoilt.get();
		this.trace.write(CLIENTS * REQUESTS + " requests; " + this.successes + " got a success, " + this.others
				+ " something else; " + ((spoiling == null) ? "no answer was spoilt"
						: spoilt + " of " + spoiling.runs + " answers of " + spoiling.id + " were spoilt")
				+ "; broken: MIXED " + this.wrong + " times, REFUSED " + this.refused + " times, TWICE " + this.twice
				+ " times");
		if (this.wrong.get() + this.refused.get() + this.twice.get() > 0) {
			return 1;
		}
		return (this.successes.get() > 0 && (spoilt > 0 || !this.trouble)) ? 0 : 2;
	}

	private void call(int client) {
		for (int number = 0; number < REQUESTS; number++) {
			String attempt = String.format("%04x%012x", client + 1, number + 1);
			boolean order = number % 2 == 0;
			Nodes.Node node = this.nodes.get("front-" + (1 + (client + number) % 2));
			try {
				judge(attempt, order, send(node.callers, attempt, order));
				TimeUnit.MILLISECONDS.sleep(20);
			}
			catch (IOException ex) {
				this.others.incrementAndGet();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static String send(int port, String attempt, boolean order) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(5000);
			socket.getOutputStream()
				.write(((order ? "POST /orders/" : "GET /stock/") + attempt
						+ " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt
						+ "\r\nDeadline-Ms: 2500\r\nConnection: close\r\n" + (order ? "Content-Length: 5\r\n\r\norder"
								: "\r\n"))
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	private void judge(String attempt, boolean order, String answer) {
		int end = answer.indexOf("\r\n\r\n");
		long runs = this.desks.stream().filter((desk) -> desk.bodies.containsKey(attempt)).count();
		if (order && runs > 1) {
			this.twice.incrementAndGet();
			this.trace.write("TWICE: order " + attempt + " was run by " + runs + " servers");
		}
		if (order && runs > 0 && answer.matches("(?s)HTTP/1\\.1 (503|429|408|421) .*")) {
			this.refused.incrementAndGet();
			this.trace.write("REFUSED: order " + attempt + " was run, and its client gets '"
					+ answer.substring(0, answer.indexOf('\r')) + "'");
		}
		if (!answer.startsWith("HTTP/1.1 200") || end < 0) {
			this.others.incrementAndGet();
			return;
		}
		this.successes.incrementAndGet();
		String body = answer.substring(end + 4);
		boolean whole = this.desks.stream().anyMatch((desk) -> body.equals(desk.bodies.get(attempt)));
		if (!whole) {
			this.wrong.incrementAndGet();
			this.trace.write("MIXED: the client of " + (order ? "order " : "look-up ") + attempt
					+ " gets 200 with a body that ends with '"
					+ body.substring(Math.max(0, body.length() - 60)).replace("\r", "\\r").replace("\n", "\\n") + "'");
		}
	}

	private static ObjectNode configuration() {
		ObjectNode spec = Store.JSON.createObjectNode().put("version", 1);
		ArrayNode routes = spec.putArray("routes");
		routes.add(route("orders", "/orders/", "non_idempotent"));
		routes.add(route("stock", "/stock/", "idempotent"));
		spec.putArray("services")
			.addObject()
			.put("name", "desk")
			.put("health_path", "/health")
			.put("max_connections", 48);
		spec.putObject("limits")
			.put("max_header_bytes", 16384)
			.put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000)
			.put("idle_timeout_ms", 15000);
		return spec;
	}

	private static ObjectNode route(String name, String prefix, String kind) {
		return Store.JSON.createObjectNode()
			.put("name", name)
			.put("host", "desk.example")
			.put("path_prefix", prefix)
			.put("kind", kind)
			.put("timeout_ms", 2500)
			.put("target_latency_ms", 243)
			.put("priority", 2)
			.put("service", "desk")
			.put("max_attempts", 2)
			.put("public", true);
	}

}
