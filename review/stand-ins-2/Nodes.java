import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Entry nodes as separate processes, started by the command of the deploy file with
 * settings like those that the platform writes (DEPLOY.md, "Settings of a process").
 */
final class Nodes implements AutoCloseable {

	private final Path folder;

	private final String store;

	private final Trace record;

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	Nodes(Path folder, String store, Trace record) {
		this.folder = folder;
		this.store = store;
		this.record = record;
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	private void killAll() {
		this.nodes.values().stream().filter(Node::isAlive).forEach((node) -> node.process.destroyForcibly());
	}

	Node start(String name, boolean firstStart) throws Exception {
		Node node = this.nodes.get(name);
		if (node == null) {
			node = new Node(name, freePort(1), freePort(1), freePort(4));
			this.nodes.put(name, node);
		}
		node.start(firstStart);
		return node;
	}

	Node get(String name) {
		return this.nodes.get(name);
	}

	// Below the range from which the system takes ports for outgoing connections.
	private static int freePort(int following) throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
			List<ServerSocket> taken = new ArrayList<>();
			try {
				for (int next = 0; next < following; next++) {
					taken.add(new ServerSocket(port + next, 1, InetAddress.getByName("127.0.0.1")));
				}
				return port;
			}
			catch (IOException ex) {
				// A port is not free: another trial.
			}
			finally {
				for (ServerSocket socket : taken) {
					socket.close();
				}
			}
		}
	}

	@Override
	public void close() throws Exception {
		for (Node node : this.nodes.values()) {
			node.kill();
		}
	}

	/** Reads the words of the 'run' line of the deploy file. */
	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				return new ArrayList<>(List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" ")));
			}
		}
		throw new IOException("deploy/system.toml has no run line");
	}

	final class Node {

		final String name;

		final int callers;

		private final int ready;

		private final int range;

		private Process process;

		Node(String name, int callers, int ready, int range) {
			this.name = name;
			this.callers = callers;
			this.ready = ready;
			this.range = range;
		}

		private String settings(boolean firstStart) {
			return String.join("\n", "node_name=" + this.name, "role=entry", "machine_class=front",
					"serves=front,control", "ip=127.0.0.1", "zone=north", "region=land", "zones.north=land",
					"zones.south=land", "bind.front=127.0.0.1:" + this.callers, "bind.ready=127.0.0.1:" + this.ready,
					"port_range=" + this.range + "," + (this.range + 3), "first_start=" + firstStart,
					"limits.cpu_share=0.75", "limits.cpu_cores=1", "limits.memory_mb=430", "limits.max_fds=4200",
					"heartbeat_ms=1200", "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_period_s=8",
					"bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
					"bounds.retry_budget_extra=103", "bounds.stall_ms=5000", "bounds.require_fencing=false",
					"bounds.ceiling_window_s=5", "bounds.origin_overshoot=1.1", "platform.address=" + Nodes.this.store,
					"platform.form=objects", "");
		}

		void start(boolean firstStart) throws Exception {
			Path file = Nodes.this.folder.resolve(this.name + ".conf");
			Files.writeString(file, settings(firstStart));
			ProcessBuilder builder = new ProcessBuilder(command());
			builder.environment().put("SYCAMOREHILL_CONFIG", file.toString());
			File log = Nodes.this.folder.resolve(this.name + ".log").toFile();
			this.process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
			Nodes.this.record.write(this.name + " started");
		}

		boolean isReady() {
			try {
				HttpURLConnection connection = (HttpURLConnection) URI
					.create("http://127.0.0.1:" + this.ready + "/-/ready")
					.toURL()
					.openConnection();
				connection.setConnectTimeout(500);
				connection.setReadTimeout(500);
				return connection.getResponseCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady(double seconds) throws Exception {
			long end = System.nanoTime() + (long) (seconds * 1e9);
			while (!isReady()) {
				if (System.nanoTime() > end) {
					throw new IllegalStateException(this.name + " does not become ready");
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
			Nodes.this.record.write(this.name + " is ready");
		}

		boolean isAlive() {
			return this.process != null && this.process.isAlive();
		}

		/** Sends SIGKILL. */
		void kill() throws InterruptedException {
			if (isAlive()) {
				this.process.destroyForcibly();
				this.process.waitFor();
				Nodes.this.record.write(this.name + " killed");
			}
		}

		/** Sends SIGTERM. */
		void terminate() {
			this.process.destroy();
			Nodes.this.record.write(this.name + " gets SIGTERM");
		}

	}

}
