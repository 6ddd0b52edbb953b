package sycamorehill.gateway;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.engine.HttpEngine;
import sycamorehill.engine.HttpPlainService;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.json.ModelJson;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The gateway closes when no request is in flight any more for the decisions; its callers
 * may still take their answers.
 */
class CallerGatewayCloseTests {

	/** An answer that the buffers of the operating system don't hold. */
	private static final int LONG_BODY = 12 * 1024 * 1024;

	private static final int SMALL_RECEIVE_BUFFER = 8 * 1024;

	private static final String REQUEST = "POST /services/order-desk/orders HTTP/1.1\r\nHost: node\r\n"
			+ "Authorization: Bearer key\r\nIdempotency-Key: first\r\nContent-Length: 2\r\n\r\n{}";

	private final HttpClientPool clients = HttpClientPool.create(Duration.ofSeconds(1));

	private CallerGateway gateway;

	private Address address;

	@AfterEach
	void end() {
		this.clients.close();
	}

	// A caller loses the rest of its answer because the node stops, though it serves no
	// request any more.
	@Test
	void answerThatACallerReadsSlowlyArrivesWhole() throws Exception {
		start();
		try (Socket socket = connect()) {
			socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
			TimeUnit.MILLISECONDS.sleep(700);
			CompletableFuture<Void> closed = CompletableFuture.runAsync(this::close);
			TimeUnit.MILLISECONDS.sleep(500);
			assertThat(socket.getInputStream().readNBytes(LONG_BODY).length).isEqualTo(LONG_BODY);
			closed.get(10, TimeUnit.SECONDS);
		}
	}

	// A kept connection without a request must not hold up the end of the process.
	@Test
	void idleConnectionDoesNotDelayTheClose() throws Exception {
		start();
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /health/live HTTP/1.1\r\nHost: node\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			CompletableFuture.runAsync(this::close).get(2, TimeUnit.SECONDS);
		}
	}

	private void start() throws Exception {
		ObjectMapper json = ModelJson.json();
		this.gateway = CallerGateway.create(NodeIncarnation.of(NodeName.of("one"), 1), Clock.systemUTC(),
				Clock.systemUTC(), json, HttpEngine.create(this.clients, json),
				HttpPlainService.create(BufferedHttpClient.create(this.clients)), this::answer, () -> true,
				new MetricRegistry());
		this.address = this.gateway.listen(new InetSocketAddress("127.0.0.1", 0));
	}

	private void answer(Event event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			RecordedAnswer answer = new RecordedAnswer(SuccessStatus.OK, "text/plain", "x".repeat(LONG_BODY));
			this.gateway.requests()
				.carryOut(new RequestEffect.FinishRequest(arrived.request().identifier(),
						new RequestOutcome.Replayed(answer)));
		}
	}

	private Socket connect() throws Exception {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
		socket.setSoTimeout(10_000);
		socket.connect(new InetSocketAddress(this.address.host(), this.address.port()));
		return socket;
	}

	private void close() {
		try {
			this.gateway.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
