package sycamorehill.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import sycamorehill.model.identity.Address;

/**
 * Engine that answers each request with a stream of numbered events. The path names the
 * number of events.
 */
final class StreamingEngine implements AutoCloseable {

	private static final Duration EVENT_INTERVAL = Duration.ofMillis(50);

	private static final byte[] PADDING = ". ".repeat(100).getBytes(StandardCharsets.US_ASCII);

	private final ExecutorService threads = Executors.newCachedThreadPool((work) -> {
		Thread thread = new Thread(work, "streaming-engine");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	private final AtomicInteger requests = new AtomicInteger();

	private StreamingEngine(HttpServer server) {
		this.server = server;
	}

	static StreamingEngine start() throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		StreamingEngine engine = new StreamingEngine(server);
		server.createContext("/", engine::stream);
		server.setExecutor(engine.threads);
		server.start();
		return engine;
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getAddress().getPort());
	}

	int requests() {
		return this.requests.get();
	}

	private void stream(HttpExchange exchange) throws IOException {
		this.requests.incrementAndGet();
		String path = exchange.getRequestURI().getPath();
		int events = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
		exchange.getRequestBody().readAllBytes();
		exchange.getResponseHeaders().set("Attempt-Id", exchange.getRequestHeaders().getFirst("Attempt-Id"));
		exchange.getResponseHeaders().set("Server-Signature", "signed");
		exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
		exchange.sendResponseHeaders(200, 0);
		try (OutputStream out = exchange.getResponseBody()) {
			for (int event = 1; event <= events; event++) {
				out.write(("id: " + event + "\ndata: ").getBytes(StandardCharsets.US_ASCII));
				out.write(PADDING);
				out.write("\n\n".getBytes(StandardCharsets.US_ASCII));
				out.flush();
				TimeUnit.NANOSECONDS.sleep(EVENT_INTERVAL.toNanos());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

}
