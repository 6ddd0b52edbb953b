package sycamorehill.process;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;

/**
 * Entry node as a process of its own, with the virtual machine's options of
 * {@code deploy/system.toml}.
 */
final class StormNode implements AutoCloseable {

	private static final Pattern COMMAND = Pattern.compile("run = \"([^\"]+)\"");

	private static final Pattern GAUGE = Pattern.compile("(?m)^([a-z_]+) ([0-9.E]+)$");

	private static final String HOST = "127.0.0.1";

	/** Memory and descriptors of a machine, as the platform tells them to a process. */
	private static final String MACHINE = "-XX:MaxRAM=450887680 -XX:MaxRAMPercentage=60";

	private final Process process;

	private final Path log;

	private final Address callers;

	private final Address metrics;

	private final Map<String, Double> maxima = new TreeMap<>();

	private StormNode(Process process, Path log, Address callers, Address metrics) {
		this.process = process;
		this.log = log;
		this.callers = callers;
		this.metrics = metrics;
	}

	static StormNode start(String name, Address store, Path directory, Map<String, String> replacedOptions)
			throws Exception {
		List<Address> free = freePorts();
		String text = Files.readString(Path.of("deploy/class-archive.conf"))
			.replace("@address@:47327", free.get(0).toString())
			.replace("@address@:47320", free.get(1).toString())
			.replace("port_range=47340,47355", "port_range=" + free.get(2).port() + ',' + free.get(3).port())
			.replace("@address@:47323", store.toString())
			.replace("front-fukuoka-1", name)
			.replace("@address@", HOST);
		Path file = Files.writeString(directory.resolve(name + ".conf"), text);
		Path log = directory.resolve(name + ".log");
		ProcessBuilder builder = new ProcessBuilder(command(replacedOptions)).redirectErrorStream(true)
			.redirectOutput(log.toFile());
		builder.environment().put("SYCAMOREHILL_CONFIG", file.toString());
		builder.environment().put("JAVA_TOOL_OPTIONS", MACHINE);
		builder.environment().put("MALLOC_ARENA_MAX", "1");
		StormNode node = new StormNode(builder.start(), log, free.get(0), free.get(2));
		node.awaitReady();
		return node;
	}

	private static List<Address> freePorts() {
		List<Address> free = FreePorts.find(4);
		while (free.get(3).port() != free.get(2).port() + 1) {
			free = FreePorts.find(4);
		}
		return free;
	}

	private static List<String> command(Map<String, String> replacedOptions) throws IOException {
		Matcher matcher = COMMAND.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!matcher.find()) {
			throw new IllegalStateException("deploy/system.toml names no command");
		}
		List<String> command = new ArrayList<>();
		for (String word : matcher.group(1).split(" ")) {
			command.add(replacedOptions.getOrDefault(word, word));
		}
		command.set(0, System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
		return command;
	}

	private void awaitReady() throws Exception {
		for (int attempt = 0; attempt < 200; attempt++) {
			if (logText().contains("CONFIGURATION_IN_FORCE")) {
				return;
			}
			Thread.sleep(50);
		}
		throw new IllegalStateException("the node has no configuration: " + logText());
	}

	Address callers() {
		return this.callers;
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	String logText() throws IOException {
		return Files.readString(this.log);
	}

	/** Reads the gauges once and keeps the highest values. */
	void measure() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.metrics.host(), this.metrics.port()), 2000);
			socket.setSoTimeout(5000);
			socket.getOutputStream()
				.write("GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			String page = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Matcher matcher = GAUGE.matcher(page);
			while (matcher.find()) {
				this.maxima.merge(matcher.group(1), Double.parseDouble(matcher.group(2)), Math::max);
			}
		}
		catch (IOException ex) {
			this.maxima.merge("measurements_failed", 1.0, Double::sum);
		}
	}

	/**
	 * Returns the highest value of a gauge.
	 * @param gauge name of the gauge
	 * @return the value; 0 if it was not seen
	 */
	double maximum(String gauge) {
		return this.maxima.getOrDefault(gauge, 0.0);
	}

	/**
	 * Returns the most memory that the process has had resident.
	 * @return the size in kilobytes
	 */
	long residentKilobytes() throws IOException {
		return Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))
			.stream()
			.filter((line) -> line.startsWith("VmHWM:"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.findFirst()
			.orElse(0);
	}

	String summary() throws IOException {
		return String.format(
				"heap %.1f MB, direct %.1f MB in %.0f buffers, metaspace %.1f MB, resident %.1f MB, failures %.0f",
				maximum("process_heap_used_bytes") / 1e6, maximum("process_direct_used_bytes") / 1e6,
				maximum("process_direct_buffers"), maximum("process_metaspace_used_bytes") / 1e6,
				residentKilobytes() / 1e3, maximum("loop_failures"));
	}

	@Override
	public void close() throws InterruptedException {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

}
