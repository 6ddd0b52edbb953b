package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests calls of the node itself that get no answer.
 */
class CallClientTests {

	private static final Duration TIMEOUT = Duration.ofMillis(200);

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	private static final int MANY_BYTES = 64 * 1024;

	private static final int CALLS = 10;

	private static final int LIST_BYTES = 5 * 1024 * 1024;

	private static final long SILENCE_MILLIS = 2000;

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	@AfterEach
	void end() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	// During a network partition a command times out, but its bytes stay in transit and
	// reach the engine seconds later, after newer commands. The client must reset the
	// connection of a call that timed out, so that these bytes are discarded.
	@Test
	void timedOutCallResetsItsConnection() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			EventLoop loop = this.eventLoops.next();
			TargetAddress target = new TargetAddress(TargetName.of("engine"),
					Address.of("127.0.0.1", listener.getLocalPort()));
			CompletableFuture<CallAnswer> answer = CallClient.of(TargetConnectionPool.of(loop))
				.call(CallClient.Call.of(target, HttpMethod.POST, "/order", "leave".getBytes(StandardCharsets.UTF_8)),
						null, TIMEOUT);
			Socket accepted = listener.accept();
			assertThatThrownBy(answer::join).isInstanceOf(CompletionException.class)
				.hasCauseInstanceOf(CallFailedException.class);
			assertThat(readAll(accepted)).isEqualTo("reset");
		}
	}

	// Guards against memory held by answers of the store or of engines that don't end.
	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" })
	void callsWhoseAnswersDoNotEndFail(String repeated) throws Exception {
		byte[] part = repeated.repeat(MANY_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
		try (RawTarget store = RawTarget.start((request, out) -> {
			for (int parts = 0; parts < MANY_BYTES; parts++) {
				out.write(part);
			}
			return false;
		})) {
			CallClient client = CallClient.of(TargetConnectionPool.of(this.eventLoops.next()));
			TargetAddress target = new TargetAddress(TargetName.of("store"), store.address());
			List<CompletableFuture<CallAnswer>> answers = IntStream.range(0, CALLS)
				.mapToObj((call) -> client.call(CallClient.Call.get(target, "/list"), null, LONG_TIMEOUT))
				.toList();
			for (CompletableFuture<CallAnswer> answer : answers) {
				assertThatThrownBy(() -> answer.get(LONG_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
					.isInstanceOf(ExecutionException.class)
					.hasCauseInstanceOf(CallFailedException.class);
			}
		}
	}

	// Guards against calls to the store that fail because long answers of engines hold
	// the memory for all answers.
	@Test
	void longReportsOfEnginesDoNotFailCallsToTheStore() throws Exception {
		byte[] part = "x".repeat(MANY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
		String list = "y".repeat(LIST_BYTES);
		try (RawTarget engine = RawTarget.start((request, out) -> {
			RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100000000000000\r\n\r\n");
			for (int parts = 0; parts < LIST_BYTES / MANY_BYTES; parts++) {
				out.write(part);
			}
			RawTarget.pause(SILENCE_MILLIS);
			return false;
		});
				RawTarget store = RawTarget
					.start((request) -> "HTTP/1.1 200 OK\r\nContent-Length: " + LIST_BYTES + "\r\n\r\n" + list)) {
			CallClient client = CallClient.of(TargetConnectionPool.of(this.eventLoops.next()));
			TargetAddress target = new TargetAddress(TargetName.of("engine"), engine.address());
			for (int report = 0; report < CALLS; report++) {
				client.call(CallClient.Call.get(target, "/-/report").toEngine(), null, LONG_TIMEOUT);
			}
			RawTarget.pause(SILENCE_MILLIS / 4);
			CallClient.Call call = CallClient.Call.get(new TargetAddress(TargetName.of("store"), store.address()),
					"/list");
			assertThat(client.call(call, null, LONG_TIMEOUT).join().body()).hasSize(LIST_BYTES);
		}
	}

	// Guards against an order that counts as begun although the engine rejected it.
	@ParameterizedTest
	@ValueSource(longs = { 0, 30 })
	void aLateAnswerToAnEarlierCallIsNotTakenForTheNextOne(long pauseMillis) throws Exception {
		String accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
		String rejected = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
		AtomicInteger calls = new AtomicInteger();
		Set<OutputStream> used = ConcurrentHashMap.newKeySet();
		try (RawTarget engine = RawTarget.start((request, out) -> {
			if (!used.add(out)) {
				out.write(accepted.getBytes(StandardCharsets.ISO_8859_1));
				RawTarget.pause(pauseMillis);
			}
			out.write(((calls.incrementAndGet() == 1) ? accepted : rejected).getBytes(StandardCharsets.ISO_8859_1));
			return true;
		})) {
			CallClient client = CallClient.of(TargetConnectionPool.of(this.eventLoops.next()));
			TargetAddress target = new TargetAddress(TargetName.of("engine"), engine.address());
			CallClient.Call call = CallClient.Call
				.of(target, HttpMethod.POST, "/order", "open".getBytes(StandardCharsets.UTF_8))
				.toEngine();
			assertThat(client.call(call, null, LONG_TIMEOUT).join().status()).isEqualTo(202);
			assertThat(client.call(call, null, LONG_TIMEOUT).join().status()).isEqualTo(409);
		}
	}

	private static String readAll(Socket socket) throws InterruptedException {
		Thread.sleep(50);
		try {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			return "reset";
		}
	}

}
