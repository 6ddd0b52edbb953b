package sycamorehill.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import sycamorehill.model.identity.Address;

/**
 * Target that serves each request at once.
 */
final class SignedTarget implements AutoCloseable {

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final HttpServer server;

	private SignedTarget(HttpServer server) {
		this.server = server;
	}

	static SignedTarget start() throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		SignedTarget target = new SignedTarget(server);
		server.createContext("/", SignedTarget::answer);
		server.setExecutor(target.threads);
		server.start();
		return target;
	}

	private static void answer(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.getResponseHeaders().set("Attempt-Id", exchange.getRequestHeaders().getFirst("Attempt-Id"));
		exchange.getResponseHeaders().set("Server-Signature", "s");
		exchange.sendResponseHeaders(200, 2);
		exchange.getResponseBody().write(new byte[] { 'o', 'k' });
		exchange.close();
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getAddress().getPort());
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

}
