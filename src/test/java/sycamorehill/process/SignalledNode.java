package sycamorehill.process;

import java.io.IOException;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import sycamorehill.model.identity.Address;

/**
 * A node's process that gets signals while it sends a stream to a caller on a kept
 * connection.
 */
final class SignalledNode {

	/** Signals start when the stream is this old. */
	private static final Duration BEFORE_SIGNALS = Duration.ofMillis(400);

	private static final int ATTEMPTS = 300;

	private static final Duration BETWEEN_ATTEMPTS = Duration.ofMillis(100);

	private final BinaryProcess process;

	private final Address callers;

	private final String request;

	/**
	 * Creates a node under test.
	 * @param process its process
	 * @param callers where it accepts callers
	 * @param request the request of a long stream
	 */
	SignalledNode(BinaryProcess process, Address callers, String request) {
		this.process = process;
		this.callers = callers;
		this.request = request;
	}

	/**
	 * Sends signals while a stream is in flight; if none of them asks for a stop, asks
	 * for one after the stream.
	 * @param signals the names of the signals
	 * @param pause time between two of them
	 * @return what the caller got and how the process ended
	 */
	CompletableFuture<Outcome> signal(List<String> signals, Duration pause) {
		ExecutorService threads = Executors.newCachedThreadPool();
		return CompletableFuture.supplyAsync(() -> {
			try (KeptConnection connection = KeptConnection.open(this.callers)) {
				connection.send("GET /health/live HTTP/1.1\r\nHost: feed.example\r\n\r\n");
				connection.readAnswer(new StringBuffer());
				connection.send(this.request);
				StringBuffer stream = new StringBuffer();
				CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> read(connection, stream),
						threads);
				awaitFirstEvent(stream, answer);
				sleep(BEFORE_SIGNALS);
				this.process.signal(signals, pause);
				String end = answer.join();
				if (signals.stream().allMatch("HUP"::equals)) {
					this.process.signal(List.of("TERM"), Duration.ZERO);
				}
				int exit = this.process.awaitExit();
				return new Outcome(end, stream.toString().split("\ndata: |^data: ").length - 1, exit);
			}
			catch (Exception ex) {
				throw new IllegalStateException(signals + ": " + this.process.output(), ex);
			}
			finally {
				threads.shutdown();
			}
		}, threads);
	}

	private static String read(KeptConnection connection, StringBuffer stream) {
		try {
			return connection.readAnswer(stream).startsWith("HTTP/1.1 200") ? "whole" : "refused: " + stream;
		}
		catch (IOException ex) {
			return "cut: " + ex.getMessage();
		}
	}

	private static void awaitFirstEvent(StringBuffer stream, CompletableFuture<String> answer)
			throws InterruptedException {
		for (int attempt = 0; attempt < ATTEMPTS && stream.isEmpty() && !answer.isDone(); attempt++) {
			TimeUnit.MILLISECONDS.sleep(BETWEEN_ATTEMPTS.toMillis());
		}
	}

	/** Waits until the node answers a long stream's request with a success. */
	void awaitServing() throws Exception {
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			try (KeptConnection connection = KeptConnection.open(this.callers)) {
				connection.send(this.request);
				if (connection.readHead().startsWith("HTTP/1.1 200")) {
					return;
				}
			}
			catch (IOException ex) {
				// The node does not listen yet, or it has closed this connection.
			}
			sleep(BETWEEN_ATTEMPTS);
		}
		throw new IllegalStateException("the node does not serve: " + this.process.output());
	}

	/** Waits until the process has begun to start its node. */
	void awaitStarting() throws InterruptedException {
		this.process.awaitEvent("SYC-1001");
	}

	/**
	 * Sends one signal again and again for about a second.
	 * @param name name of the signal
	 */
	void signalManyTimes(String name) throws Exception {
		this.process.signal(Collections.nCopies(40, name), Duration.ofMillis(20));
	}

	BinaryProcess process() {
		return this.process;
	}

	int awaitExit() throws InterruptedException {
		return this.process.awaitExit();
	}

	private static void sleep(Duration time) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(time.toMillis());
	}

	/**
	 * What a caller got and how the process ended.
	 *
	 * @param stream "whole", or why not
	 * @param events number of events of the stream
	 * @param exitCode exit code of the process
	 */
	record Outcome(String stream, int events, int exitCode) {
	}

}
