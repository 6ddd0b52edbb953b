package sycamorehill.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.nio.NioEventLoopGroup;

import sycamorehill.entry.CallClients;
import sycamorehill.json.BoundedJson;
import sycamorehill.model.identity.Address;

/**
 * Store that answers with the bytes that a test supplies, and a client of it. Each
 * character of an answer is one byte.
 */
final class ScriptedStore implements AutoCloseable {

	private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final HttpServer server;

	private final List<String> queries = new CopyOnWriteArrayList<>();

	private ScriptedStore(HttpServer server) {
		this.server = server;
	}

	/**
	 * Starts a store.
	 * @param answers returns the body of the answer to a path with its query
	 * @return the store
	 * @throws IOException if no port is free
	 */
	static ScriptedStore start(UnaryOperator<String> answers) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		ScriptedStore store = new ScriptedStore(server);
		server.createContext("/", (exchange) -> store.answer(exchange, answers));
		server.setExecutor(store.threads);
		server.start();
		return store;
	}

	private void answer(HttpExchange exchange, UnaryOperator<String> answers) throws IOException {
		String path = exchange.getRequestURI().toString();
		this.queries.add(path);
		exchange.getRequestBody().readAllBytes();
		byte[] bytes = answers.apply(path).getBytes(StandardCharsets.ISO_8859_1);
		exchange.sendResponseHeaders(200, bytes.length);
		try (OutputStream out = exchange.getResponseBody()) {
			out.write(bytes);
		}
	}

	Address address() {
		return Address.of("127.0.0.1", this.server.getAddress().getPort());
	}

	List<String> queries() {
		return this.queries;
	}

	PlatformStore client() {
		return PlatformStore.of(CallClients.of(this.loops.next()), address(), BoundedJson.create());
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
		this.loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

}
