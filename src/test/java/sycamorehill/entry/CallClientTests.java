package sycamorehill.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Calls of our own that get no answer.
 */
class CallClientTests {

	private static final Duration TIMEOUT = Duration.ofMillis(200);

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	@AfterEach
	void end() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	// An engine behind a partition gets an order when the partition heals, seconds
	// after the order was given up and others were given. The connection of a call
	// that is given up is reset, so that what is still on its way is lost.
	@Test
	void timedOutCallResetsItsConnection() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			EventLoop loop = this.eventLoops.next();
			TargetAddress target = new TargetAddress(TargetName.of("engine"),
					Address.of("127.0.0.1", listener.getLocalPort()));
			CompletableFuture<CallAnswer> answer = CallClient.of(TargetConnectionPool.of(loop))
				.call(new CallClient.Call(target, HttpMethod.POST, "/order", "leave".getBytes(StandardCharsets.UTF_8)),
						null, TIMEOUT);
			Socket accepted = listener.accept();
			assertThatThrownBy(answer::join).isInstanceOf(CompletionException.class)
				.hasCauseInstanceOf(CallFailedException.class);
			assertThat(readAll(accepted)).isEqualTo("reset");
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
