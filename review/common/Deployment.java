import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The store, the node processes and the engine processes of one script, on loopback addresses. */
final class Deployment implements AutoCloseable {

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	final Store store = new Store();

	private final Path folder = Files.createTempDirectory("review");

	private final List<Process> processes = new ArrayList<>();

	private final PrintWriter record;

	private final long begin = System.nanoTime();

	private boolean firstStart = true;

	Deployment(String recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
		log("trouble=" + TROUBLE);
	}

	synchronized void log(String line) {
		String text = String.format("%8.3f  %s", (System.nanoTime() - this.begin) / 1e9, line);
		this.record.println(text);
		System.out.println(text);
	}

	/** Writes a configuration with some routes to some services. */
	void configure(long version, List<ObjectNode> routes, List<String> services) {
		ObjectNode spec = Store.JSON.createObjectNode().put("version", version);
		spec.putArray("routes").addAll(routes);
		var list = spec.putArray("services");
		services.forEach((name) -> list.addObject().put("name", name).put("health_path", "/health")
			.put("max_connections", 96).put("protocol", "h1").put("tls", false));
		spec.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
		this.store.write("config", "main", spec);
	}

	static ObjectNode route(String name, String service, String kind, int timeoutMillis) {
		return Store.JSON.createObjectNode().put("name", name).put("host", "desk.example")
			.put("path_prefix", "/" + name + "/").put("kind", kind).put("timeout_ms", timeoutMillis)
			.put("target_latency_ms", 300).put("priority", 1).put("service", service).put("max_attempts", 2)
			.put("public", true).put("sticky_sessions", false).put("resumable", false);
	}

	static ObjectNode entry(String service, String address, String zone, long born) {
		return Store.JSON.createObjectNode().put("service", service).put("address", address).put("zone", zone)
			.put("version", "v1").put("batch_slots", 12).put("state", "ready").put("warmup_left_ms", 0)
			.put("sequence", 1).put("born", born);
	}

	/** Starts a node with the run line of the deploy file. */
	Node startNode(String name, String ip, String zone) throws Exception {
		int front = freePort(ip);
		int ready = freePort(ip);
		int range = freePorts(ip, 16);
		Path file = this.folder.resolve(name + ".conf");
		Files.writeString(file, String.join("\n", "node_name=" + name, "role=entry", "machine_class=front",
				"serves=front,control", "ip=" + ip, "zone=" + zone, "region=bengal", "zones.kolkata=bengal",
				"zones.howrah=bengal", "zones.siliguri=bengal", "bind.front=" + ip + ":" + front,
				"bind.ready=" + ip + ":" + ready, "port_range=" + range + "," + (range + 15),
				"first_start=" + this.firstStart, "limits.cpu_share=0.75", "limits.cpu_cores=1",
				"limits.memory_mb=430", "limits.max_fds=4200", "discovery=platform", "heartbeat_ms=1200",
				"bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_period_s=8",
				"bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
				"bounds.retry_budget_extra=103", "bounds.recovery_s=12", "bounds.stall_ms=5000",
				"bounds.ceiling_window_s=5", "platform.address=" + this.store.address(), "platform.form=objects", ""));
		Node node = new Node(name, ip, front, ready, file, this.folder.resolve(name + ".log"));
		if (!startNode(node, 20)) {
			throw new IllegalStateException(name + " doesn't become ready: " + Files.readString(node.log()));
		}
		return node;
	}

	boolean startNode(Node node, int patienceSeconds) throws Exception {
		String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
			.filter((line) -> line.startsWith("run = ")).findFirst().orElseThrow();
		String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
		ProcessBuilder builder = new ProcessBuilder(command.split(" ")).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log().toFile()));
		builder.environment().put("SYCAMOREHILL_CONFIG", node.file().toString());
		node.process = start(builder);
		log("node " + node.name() + " started");
		for (int trial = 0; trial < 20 * patienceSeconds; trial++) {
			if (node.isReady()) {
				log("node " + node.name() + " is ready");
				return true;
			}
			Thread.sleep(50);
		}
		if (patienceSeconds == 0) {
			return false;
		}
		log("node " + node.name() + " isn't ready after " + patienceSeconds + " s");
		return false;
	}

	/** Starts an engine as a process of its own, and waits until it listens. */
	Process startEngine(String id, int port, String... more) throws Exception {
		List<String> command = new ArrayList<>(List.of("java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
				"-cp", System.getProperty("java.class.path"), "EngineProcess", id, String.valueOf(port)));
		command.addAll(List.of(more));
		File output = this.folder.resolve(id + ".log").toFile();
		Process engine = start(new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(output)));
		for (int trial = 0; trial < 400; trial++) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
				return engine;
			}
			catch (IOException ex) {
				Thread.sleep(10);
			}
		}
		throw new IllegalStateException(id + " doesn't listen");
	}

	/** Returns what an engine has written so far: one line for each thing that it did. */
	List<String> engineLines(String id) throws IOException {
		return Files.readAllLines(this.folder.resolve(id + ".log"));
	}

	private synchronized Process start(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		this.processes.add(process);
		return process;
	}

	static void signal(Process process, String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
	}

	static int freePort(String ip) throws IOException {
		return freePorts(ip, 1);
	}

	// Below the ports that the system gives to outgoing connections, which could take one before it is bound.
	private static int freePorts(String ip, int count) throws IOException {
		for (int trial = 0; trial < 200; trial++) {
			int first = 12000 + ThreadLocalRandom.current().nextInt(18000);
			boolean free = true;
			for (int port = first; free && port < first + count; port++) {
				try (ServerSocket socket = new ServerSocket()) {
					socket.bind(new InetSocketAddress(ip, port));
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return first;
			}
		}
		throw new IOException("no free ports");
	}

	private synchronized void endProcesses() {
		this.processes.forEach(Process::destroyForcibly);
	}

	@Override
	public void close() throws Exception {
		endProcesses();
		for (Process process : this.processes) {
			process.waitFor(5, TimeUnit.SECONDS);
		}
		this.store.close();
		try (var files = Files.walk(this.folder)) {
			if (System.getenv("KEEP") == null) {
				files.sorted((a, b) -> b.compareTo(a)).forEach((file) -> file.toFile().delete());
			}
			else {
				System.out.println("kept " + this.folder);
			}
		}
	}

	/** A node and its process. */
	static final class Node {

		private final String name;

		final String ip;

		final int front;

		private final int ready;

		private final Path file;

		private final Path log;

		Process process;

		Node(String name, String ip, int front, int ready, Path file, Path log) {
			this.name = name;
			this.ip = ip;
			this.front = front;
			this.ready = ready;
			this.file = file;
			this.log = log;
		}

		String name() {
			return this.name;
		}

		Path file() {
			return this.file;
		}

		Path log() {
			return this.log;
		}

		boolean isReady() {
			try (Socket socket = new Socket(this.ip, this.ready)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n".getBytes());
				return new String(socket.getInputStream().readNBytes(12)).endsWith("200");
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

}
