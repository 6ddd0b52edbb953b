import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A client sends requests whose path or query holds letters in UTF-8, to a node before
 * one server. Ends with 1 if the server gets another path or query than the client sent.
 * TROUBLE=0: the same letters are percent-encoded.
 */
public final class RawPathTrial {

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Trace trace;

	private final Store store;

	private final Nodes nodes;

	/** First lines that the server got, by the id of the request. */
	private final Map<String, String> received = new ConcurrentHashMap<>();

	private RawPathTrial(Path folder) throws Exception {
		this.trace = new Trace(folder.resolve("record.txt"));
		this.store = new Store();
		this.nodes = new Nodes(Files.createTempDirectory("raw-path"), this.store.address(), this.trace);
	}

	public static void main(String[] arguments) throws Exception {
		int status = 2;
		RawPathTrial trial = new RawPathTrial(Path.of(arguments[0]));
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
		startServer();
		Nodes.Node node = this.nodes.start("front-1", true);
		node.awaitReady(20);
		List<String> targets = this.trouble
				? List.of("/desk/kund\u0113", "/desk/site?name=R\u0113zekne", "/desk/\u0939\u093e\u0935\u0921\u093c\u093e")
				: List.of("/desk/kund%C4%93", "/desk/site?name=R%C4%93zekne", "/desk/%E0%A4%B9");
		int changed = 0;
		int answered = 0;
		for (int number = 0; number < targets.size(); number++) {
			String id = "attempt-" + number;
			String line = (number == 0 ? "POST " : "GET ") + targets.get(number) + " HTTP/1.1";
			String answer = call(node.callers, id, line);
			answered += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
			String got = this.received.get(id);
			boolean same = got == null || got.equals(line);
			changed += same ? 0 : 1;
			this.trace.write("sent '" + line + "', the server ran '" + got + "', answered '" + answer.split("\r\n")[0]
					+ "'" + (same ? "" : "  UNASKED: path or query changed"));
		}
		this.trace.write(targets.size() + " requests, " + answered + " answered with 200, " + changed + " changed");
		return (changed > 0) ? 1 : (this.trouble || answered == targets.size()) ? 0 : 2;
	}

	private static String call(int port, String id, String line) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
			socket.setSoTimeout(5000);
			socket.getOutputStream()
				.write((line + "\r\nHost: desk.example\r\nAttempt-Id: " + id
						+ "\r\nDeadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private void startServer() throws IOException {
		ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		Thread accepting = new Thread(() -> {
			while (true) {
				try {
					Socket socket = server.accept();
					Thread serving = new Thread(() -> serve(socket), "server");
					serving.setDaemon(true);
					serving.start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}, "accepting");
		accepting.setDaemon(true);
		accepting.start();
		ObjectNode entry = Store.JSON.createObjectNode()
			.put("service", "desk")
			.put("address", "127.0.0.1:" + server.getLocalPort())
			.put("zone", "north")
			.put("version", "v1")
			.put("batch_slots", 6)
			.put("state", "ready")
			.put("warmup_left_ms", 0)
			.put("sequence", 1)
			.put("born", System.currentTimeMillis());
		this.store.write("servers", "server-1", entry);
	}

	private void serve(Socket socket) {
		try (socket) {
			for (String head = readHead(socket.getInputStream()); !head.isEmpty(); head = readHead(
					socket.getInputStream())) {
				String[] lines = head.split("\r\n");
				String id = "";
				for (String line : lines) {
					id = line.toLowerCase().startsWith("attempt-id: ") ? line.substring("attempt-id: ".length()) : id;
				}
				this.received.put(id, lines[0]);
				socket.getOutputStream()
					.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: s1\r\n"
							+ "Content-Length: 2\r\n\r\nok")
						.getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The connection has ended.
		}
	}

	private static String readHead(InputStream input) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		for (int next = input.read(); next >= 0; next = input.read()) {
			head.write(next);
			String text = head.toString(StandardCharsets.UTF_8);
			if (text.endsWith("\r\n\r\n")) {
				return text;
			}
		}
		return "";
	}

	private static ObjectNode configuration() {
		ObjectNode spec = Store.JSON.createObjectNode().put("version", 1);
		ArrayNode routes = spec.putArray("routes");
		routes.addObject()
			.put("name", "desk")
			.put("host", "desk.example")
			.put("path_prefix", "/desk/")
			.put("kind", "non_idempotent")
			.put("timeout_ms", 2500)
			.put("target_latency_ms", 243)
			.put("priority", 2)
			.put("service", "desk")
			.put("max_attempts", 2)
			.put("public", true);
		spec.putArray("services").addObject().put("name", "desk").put("health_path", "/health").put("max_connections",
				48);
		spec.putObject("limits")
			.put("max_header_bytes", 16384)
			.put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000)
			.put("idle_timeout_ms", 15000);
		return spec;
	}

}
