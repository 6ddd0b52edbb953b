package sycamorehill.entry;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a node that holds as many connections of callers as it may.
 */
class CallerConnectionLimitTests {

	/** Leaves six connections for callers. */
	private static final int DESCRIPTORS = 210;

	private static final int MAXIMUM_CONNECTIONS = 6;

	private static final Duration LONGER_THAN_MINIMUM_IDLE_TIME = Duration.ofMillis(300);

	private final List<Socket> callers = new ArrayList<>();

	private CallerNode node;

	@BeforeEach
	void start() throws Exception {
		this.node = CallerNode.start(CallerLimits.INITIAL, LoopbackCluster::hello, DESCRIPTORS);
		// The connection with which the start was awaited may still count.
		for (int trial = 0; trial < 100 && !this.node.metrics().contains("callers_connections 0.0"); trial++) {
			Thread.sleep(20);
		}
	}

	@AfterEach
	void end() throws Exception {
		for (Socket caller : this.callers) {
			caller.close();
		}
		this.node.close();
	}

	private Socket connect() throws Exception {
		Socket caller = this.node.connect();
		this.callers.add(caller);
		return caller;
	}

	private static String ask(Socket caller) throws Exception {
		CallerNode.send(caller, CallerNode.request("/again/x", "a1"));
		return CallerNode.readUntil(caller, "hello");
	}

	@Test
	void theConnectionThatHasBeenIdleLongestMakesRoomForANewOne() throws Exception {
		for (int number = 0; number < MAXIMUM_CONNECTIONS; number++) {
			connect();
		}
		Thread.sleep(LONGER_THAN_MINIMUM_IDLE_TIME.toMillis());
		assertThat(ask(connect())).startsWith("HTTP/1.1 200");
		assertThat(CallerNode.readAll(this.callers.get(0))).isEmpty();
		assertThat(ask(this.callers.get(1))).startsWith("HTTP/1.1 200");
	}

	// The request of a connection that has just been opened may be on its way.
	@Test
	void aNewConnectionIsClosedUnreadIfNoneHasBeenIdleForLong() throws Exception {
		for (int number = 0; number < MAXIMUM_CONNECTIONS; number++) {
			connect();
		}
		assertThat(CallerNode.readAll(connect())).isEqualTo("[reset]");
		assertThat(ask(this.callers.get(0))).startsWith("HTTP/1.1 200");
		assertThat(this.node.metrics()).contains("callers_connections_closed_unread 1.0");
	}

	@Test
	void answersAskToCloseWhereConnectionsAreMany() throws Exception {
		assertThat(ask(connect())).doesNotContainIgnoringCase("connection: close");
		for (int number = 1; number < MAXIMUM_CONNECTIONS; number++) {
			connect();
		}
		assertThat(ask(this.callers.get(0))).containsIgnoringCase("connection: close");
	}

}
