package sycamorehill.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * One process of the binary under test.
 */
final class BinaryProcess implements AutoCloseable {

	private static final String BINARY = "target/sycamorehill";

	private static final String JAVA_OPTIONS = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx128m";

	private final Process process;

	private final List<String> lines = new ArrayList<>();

	private final Thread reader;

	private BinaryProcess(Process process) {
		this.process = process;
		this.reader = new Thread(this::read, "process-output");
		this.reader.setDaemon(true);
		this.reader.start();
	}

	static BinaryProcess start(String... arguments) throws IOException {
		return start(Map.of(), arguments);
	}

	static BinaryProcess start(Map<String, String> environment, String... arguments) throws IOException {
		List<String> command = new ArrayList<>(List.of("sh", BINARY));
		command.addAll(Arrays.asList(arguments));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
		builder.environment().put("SYCAMOREHILL_JAVA_OPTIONS", JAVA_OPTIONS);
		builder.environment().putAll(environment);
		return new BinaryProcess(builder.start());
	}

	/**
	 * Starts a process that may open only so many files and sockets.
	 * @param descriptors the number of descriptors
	 * @param environment more environment variables
	 * @param arguments the arguments
	 * @return the process
	 * @throws IOException if it can't be started
	 */
	static BinaryProcess startLimited(int descriptors, Map<String, String> environment, String... arguments)
			throws IOException {
		String limited = "ulimit -n " + descriptors + "; exec sh " + BINARY + " " + String.join(" ", arguments);
		ProcessBuilder builder = new ProcessBuilder("sh", "-c", limited).redirectErrorStream(true);
		builder.environment().put("SYCAMOREHILL_JAVA_OPTIONS", JAVA_OPTIONS);
		builder.environment().putAll(environment);
		return new BinaryProcess(builder.start());
	}

	static int run(String... arguments) throws Exception {
		try (BinaryProcess process = start(arguments)) {
			return process.awaitExit();
		}
	}

	int awaitExit() throws InterruptedException {
		if (!this.process.waitFor(60, TimeUnit.SECONDS)) {
			throw new IllegalStateException("the process does not end: " + output());
		}
		this.reader.join();
		return this.process.exitValue();
	}

	/**
	 * Sends a signal, whether or not the process still runs.
	 * @param name the signal's name, such as TERM
	 */
	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void stopByPlan() {
		this.process.destroy();
	}

	/**
	 * Sends signals, whether or not the process still runs.
	 * @param names names of the signals
	 * @param pause time between two of them
	 */
	void signal(List<String> names, Duration pause) throws IOException, InterruptedException {
		for (String name : names) {
			signal(name);
			TimeUnit.MILLISECONDS.sleep(pause.toMillis());
		}
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	synchronized List<String> output() {
		return List.copyOf(this.lines);
	}

	List<String> awaitLines(String prefix, int count) throws InterruptedException {
		return awaitLines((line) -> line.startsWith(prefix), prefix, count);
	}

	/**
	 * Waits for a line of the log.
	 * @param code code of its event
	 */
	void awaitEvent(String code) throws InterruptedException {
		awaitLines((line) -> line.contains(code), code, 1);
	}

	private List<String> awaitLines(Predicate<String> wanted, String name, int count) throws InterruptedException {
		for (int attempt = 0; attempt < 600; attempt++) {
			List<String> found = output().stream().filter(wanted).toList();
			if (found.size() >= count) {
				return found;
			}
			if (!this.process.isAlive()) {
				break;
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
		throw new IllegalStateException("no line '" + name + "' in " + output());
	}

	private void read() {
		try (BufferedReader input = this.process.inputReader(StandardCharsets.UTF_8)) {
			for (String line = input.readLine(); line != null; line = input.readLine()) {
				add(line);
			}
		}
		catch (IOException ex) {
			add("output broke off: " + ex.getMessage());
		}
	}

	private synchronized void add(String line) {
		this.lines.add(line);
	}

	@Override
	public void close() throws InterruptedException {
		kill();
	}

}
