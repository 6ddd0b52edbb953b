package sycamorehill.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import sycamorehill.model.identity.Address;

/**
 * The users' platform for processes: a store with one configuration that never changes,
 * and a group of two engines that sends slow streams.
 */
final class FakeUsersPlatform implements AutoCloseable {

	/** Number of events of a stream. */
	static final int EVENTS = 250;

	private static final long MILLISECONDS_BETWEEN_EVENTS = 20;

	private static final String CONFIGURATION = "{'version':1,'routes':[{'name':'r','host':'feed.example',"
			+ "'path_prefix':'/stream/','kind':'streaming','timeout_ms':20000,'target_latency_ms':300,'priority':1,"
			+ "'service':'pool','max_attempts':2,'public':false,'resumable':false,'target_gap_ms':200}],'services':["
			+ "{'name':'pool','max_connections':99,'engine':{'batch_slots':12,'kv_capacity':1000000,'stride':5,"
			+ "'models':[{'name':'small','size':2,'share':1.0,'pace':1.0,'load_s':16.0,'warm_s':1.6}],'step_ms':7.8,"
			+ "'per_seq_ms':0.1,'read_per_s':45900.0,'loads_per_s':5.0,'loads_at_once':7,'form_ms':300.0,"
			+ "'usual':{'prompt':979,'answer':154}}}],'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,"
			+ "'header_timeout_ms':3000,'idle_timeout_ms':15000},'tenants':[{'name':'yard','api_keys':['key'],"
			+ "'priority':0}]}";

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<BinaryProcess> processes = new ArrayList<>();

	private final Map<String, String> nodes = new ConcurrentHashMap<>();

	private final HttpServer store = server();

	private final HttpServer engine = server();

	private FakeUsersPlatform() throws IOException {
		this.store.createContext("/-/objects/", this::answerFromStore);
		this.engine.createContext("/", FakeUsersPlatform::stream);
		this.store.start();
		this.engine.start();
	}

	static FakeUsersPlatform start() throws IOException {
		return new FakeUsersPlatform();
	}

	private HttpServer server() throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
		server.setExecutor(this.threads);
		return server;
	}

	List<SignalledNode> startNodes(Path folder, int count) throws IOException {
		List<SignalledNode> nodes = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			nodes.add(startNode(folder, "node-" + number));
		}
		return nodes;
	}

	/**
	 * Starts a node's process.
	 * @param folder where its settings are written
	 * @param name the node's name
	 * @return the node
	 */
	SignalledNode startNode(Path folder, String name) throws IOException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		String address = "127." + random.nextInt(20, 250) + '.' + random.nextInt(250) + '.' + random.nextInt(1, 250);
		Path settings = Files.writeString(folder.resolve(name + ".conf"),
				"node_name=" + name + "\nip=" + address + "\nzone=north\nzones.north=r\nbind.front=" + address
						+ ":8227\nbind.ready=" + address
						+ ":8220\nport_range=7340,7355\nfirst_start=true\nplatform.address=127.0.0.1:"
						+ this.store.getAddress().getPort()
						+ "\nbounds.grace_period_s=12\nbounds.budget_window_s=10\nbounds.retry_budget_ratio=0.2\n"
						+ "bounds.retry_budget_extra=103\nbounds.stall_ms=5000\nbounds.ceiling_window_s=5\n");
		BinaryProcess process = BinaryProcess.start(Map.of("SYCAMOREHILL_CONFIG", settings.toString()), "serve");
		this.processes.add(process);
		return new SignalledNode(process, Address.parse(address + ":8227"),
				"POST /stream/x HTTP/1.1\r\nHost: feed.example\r\nAttempt-Id: a-" + name
						+ "\r\nAuthorization: Token key\r\nModel: small\r\nDeadline-Ms: 19000\r\n"
						+ "Token-Usage: 10,250\r\nContent-Length: 2\r\n\r\nhi");
	}

	private void answerFromStore(HttpExchange exchange) throws IOException {
		String kind = exchange.getRequestURI().getPath().substring("/-/objects/".length());
		String query = String.valueOf(exchange.getRequestURI().getQuery());
		if (kind.startsWith("nodes")) {
			answerAboutNodes(exchange, kind.substring("nodes".length()));
		}
		else if (!exchange.getRequestMethod().equals("GET")) {
			answer(exchange, 503, "{}");
		}
		else if (query.contains("watch=")) {
			sleep(Long.parseLong(query.replaceAll(".*wait_ms=(\\d+).*", "$1")));
			answer(exchange, 200, "{'events':[],'at':1}");
		}
		else {
			answer(exchange, kind.contains("/") ? 404 : 200, "{'items':[" + items(kind) + "],'has_more':false,'at':1}");
		}
	}

	private void answerAboutNodes(HttpExchange exchange, String name) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String entry = this.nodes.get(name);
		switch (exchange.getRequestMethod()) {
			case "POST" -> {
				String created = '/' + body.replaceAll("(?s).*\"name\":\"([^\"]*)\".*", "$1");
				answer(exchange, (this.nodes.putIfAbsent(created, body) != null) ? 409 : 201, "{}");
			}
			case "PUT" -> {
				this.nodes.put(name, body);
				answer(exchange, 200, "{}");
			}
			case "DELETE" -> answer(exchange, (this.nodes.remove(name) != null) ? 200 : 404, "{}");
			default -> answer(exchange, (name.isEmpty() || entry != null) ? 200 : 404,
					(entry != null) ? entry : "{'items':[],'has_more':false,'at':1}");
		}
	}

	private String items(String kind) {
		return switch (kind) {
			case "config" -> "{'metadata':{'name':'main','rev':1},'spec':" + CONFIGURATION + "}";
			case "servers" -> engine(0, "open") + ',' + engine(1, "ready");
			default -> "";
		};
	}

	private String engine(int rank, String state) {
		return "{'metadata':{'name':'e" + rank + "','rev':1},'spec':{'service':'pool','address':'127.0.0.1:"
				+ this.engine.getAddress().getPort()
				+ "','zone':'north','batch_slots':12,'state':'ready','sequence':4,'born':1,'models':[{'name':'small'}],"
				+ "'domain':'d0','staged':['small'],'group':{'name':'small.1','epoch':1,'rank':" + rank + ",'state':'"
				+ state + "'}}}";
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
		exchange.getRequestBody().readAllBytes();
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private static void stream(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.getResponseHeaders().set("Server-Signature", "s");
		exchange.getResponseHeaders().set("Attempt-Id", exchange.getRequestHeaders().getFirst("Attempt-Id"));
		exchange.sendResponseHeaders(200, 0);
		try (OutputStream body = exchange.getResponseBody()) {
			for (int number = 1; number <= EVENTS; number++) {
				body.write(("id: " + number + "\ndata: e" + number + "\n\n").getBytes(StandardCharsets.UTF_8));
				body.flush();
				sleep(MILLISECONDS_BETWEEN_EVENTS);
			}
		}
	}

	private static void sleep(long milliseconds) {
		try {
			TimeUnit.MILLISECONDS.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() throws InterruptedException {
		for (BinaryProcess process : this.processes) {
			process.close();
		}
		this.store.stop(0);
		this.engine.stop(0);
		this.threads.shutdownNow();
	}

}
