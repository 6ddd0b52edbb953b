package sycamorehill.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests calls to a server that answers some calls twice.
 */
class BufferedHttpClientTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String FIRST = answer(202, "first");

	private static final String OWN = answer(409, "own");

	private final HttpClientPool pool = HttpClientPool.createWithoutReuse(Duration.ofSeconds(1));

	private final AtomicInteger calls = new AtomicInteger();

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
	}

	@AfterEach
	void end() throws IOException {
		this.pool.close();
		this.server.close();
	}

	private static String answer(int status, String body) {
		return "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private void serve(Responder responder) {
		run(() -> {
			while (true) {
				Socket socket = this.server.accept();
				run(() -> serve(socket, responder));
			}
		});
	}

	private static void run(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The test has ended, or the client closed the connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private void serve(Socket socket, Responder responder) throws IOException {
		try (socket) {
			InputStream in = socket.getInputStream();
			int earlier = 0;
			StringBuilder text = new StringBuilder();
			for (int next = in.read(); next >= 0; next = in.read()) {
				text.append((char) next);
				if (text.toString().endsWith("\r\n\r\n")) {
					text.setLength(0);
					responder.respond(this.calls.incrementAndGet(), earlier, socket.getOutputStream());
					earlier++;
				}
			}
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void sleep(int millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private int call() {
		HttpCall call = HttpCall.of(Address.of("127.0.0.1", this.server.getLocalPort()), "POST", "/orders", TIMEOUT);
		return BufferedHttpClient.create(this.pool)
			.call(call)
			.handle((answer, failure) -> (failure != null) ? 0 : answer.status())
			.join();
	}

	// Guards against an order that counts as accepted by the answer to the one before it.
	@ParameterizedTest
	@ValueSource(ints = { 0, 50 })
	void aLateAnswerToAnEarlierCallIsNotTakenForTheNextOne(int gapMillis) throws Exception {
		serve((call, earlier, out) -> {
			if (earlier > 0) {
				write(out, FIRST);
				sleep(gapMillis);
			}
			write(out, (call == 1) ? FIRST : OWN);
		});
		assertThat(call()).isEqualTo(202);
		assertThat(call()).isEqualTo(409);
	}

	// Guards against the same for an answer that arrives between two calls.
	@Test
	void anAnswerThatArrivesBetweenCallsIsNotTakenForTheNextOne() throws Exception {
		serve((call, earlier, out) -> {
			if (call == 1) {
				write(out, FIRST);
				sleep(50);
				write(out, FIRST);
			}
			else {
				write(out, OWN);
			}
		});
		assertThat(call()).isEqualTo(202);
		Thread.sleep(150);
		assertThat(call()).isEqualTo(409);
	}

	/**
	 * Answers the calls on a connection.
	 */
	private interface Responder {

		/**
		 * Answers a call.
		 * @param call number of the call
		 * @param earlier number of calls before it on the connection
		 * @param out receives the answer
		 */
		void respond(int call, int earlier, OutputStream out) throws IOException;

	}

	/**
	 * Work of a thread.
	 */
	private interface Task {

		void run() throws IOException;

	}

}
