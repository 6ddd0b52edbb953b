package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback what callers get of streams whose engine sends nothing for a while.
 */
class SilentEngineStreamTests {

	private static final int EVENTS_BEFORE = 2;

	private static final int LAST_EVENT = 5;

	private static final int MANY_EVENTS = 1000;

	private static final int RACES = 12;

	private static final int REQUESTS_UNTIL_DETECTED = 10;

	private static final Duration MAXIMUM_CANCELLATION_TIME = Duration.ofMillis(500);

	private static final int PAUSE_MILLIS = 1200;

	private static final int REFUSAL_MILLIS = 300;

	private static final int EVENT_INTERVAL_MILLIS = 20;

	private LoopbackCluster cluster;

	@AfterEach
	void close() throws IOException {
		this.cluster.close();
	}

	private void start(RawTarget.Responder engines, String... nodes) throws Exception {
		this.cluster = LoopbackCluster.start(RawTarget.responder(LoopbackCluster::hello), engines, List.of(), nodes);
		this.cluster.awaitRetryShare(nodes[0]);
	}

	private static boolean isResumed(String request) {
		return request.contains("Last-Event-Id: ");
	}

	private static void sleep(int millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static void writeEvents(OutputStream out, int first, int last) throws IOException {
		for (int number = first; number <= last; number++) {
			sleep(EVENT_INTERVAL_MILLIS);
			String event = "id: " + number + "\ndata: e" + number + "\n\n";
			RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
	}

	// Sends some events, nothing for the pause, and then the rest.
	private static boolean streamWithPause(String request, OutputStream out) throws IOException {
		RawTarget.write(out, LoopbackCluster.events(request, 1, EVENTS_BEFORE, true).replace("0\r\n\r\n", ""));
		sleep(PAUSE_MILLIS);
		writeEvents(out, EVENTS_BEFORE + 1, LAST_EVENT);
		RawTarget.write(out, "0\r\n\r\n");
		return true;
	}

	// Sends events all the time, for longer than any test.
	private static boolean streamForLong(String request, OutputStream out) throws IOException {
		RawTarget.write(out,
				LoopbackCluster.events(request, EVENTS_BEFORE + 1, EVENTS_BEFORE + 1, true).replace("0\r\n\r\n", ""));
		writeEvents(out, EVENTS_BEFORE + 2, MANY_EVENTS);
		return true;
	}

	private static boolean refuse(String request, OutputStream out) throws IOException {
		RawTarget.write(out, "HTTP/1.1 503 Full\r\nAttempt-Id: " + LoopbackCluster.identifier(request)
				+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
		return true;
	}

	private static void assertWhole(String answer) {
		assertThat(answer).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
		assertThat(answer.lines().filter((line) -> line.startsWith("data: "))).containsExactly("data: e1", "data: e2",
				"data: e3", "data: e4", "data: e5");
	}

	// Guards against an answer cut because a second engine refuses while the first wakes.
	@Test
	void aStreamGoesOnAtItsEngineIfAnotherRefusesIt() throws Exception {
		start((request, out) -> {
			if (isResumed(request)) {
				sleep(REFUSAL_MILLIS);
				return refuse(request, out);
			}
			return streamWithPause(request, out);
		}, "one");
		assertWhole(this.cluster.ask("one", "/stream/x", "silent-refused"));
		assertThat(this.cluster.streamRequests()).anyMatch(SilentEngineStreamTests::isResumed);
	}

	// Guards against an answer cut because a second engine breaks off while the first
	// wakes.
	@Test
	void aStreamGoesOnAtItsEngineIfAnotherBreaksOff() throws Exception {
		start((request, out) -> {
			if (isResumed(request)) {
				sleep(REFUSAL_MILLIS);
				return false;
			}
			return streamWithPause(request, out);
		}, "one");
		assertWhole(this.cluster.ask("one", "/stream/x", "silent-broken"));
	}

	// Guards against events that come twice or out of order when both engines go on at
	// about the same time.
	@Test
	void eventsComeOnceAndInOrderWhenBothEnginesGoOn() throws Exception {
		AtomicLong pauseStarted = new AtomicLong();
		AtomicInteger lead = new AtomicInteger();
		start((request, out) -> {
			if (!isResumed(request)) {
				pauseStarted.set(System.nanoTime());
				return streamWithPause(request, out);
			}
			long elapsed = Duration.ofNanos(System.nanoTime() - pauseStarted.get()).toMillis();
			sleep((int) Math.max(0, PAUSE_MILLIS - elapsed + lead.get()));
			RawTarget.write(out, LoopbackCluster.events(request, EVENTS_BEFORE + 1, LAST_EVENT, true));
			return true;
		}, "one");
		for (int race = 0; race < RACES; race++) {
			lead.set(EVENT_INTERVAL_MILLIS + race - RACES / 2);
			assertWhole(this.cluster.ask("one", "/stream/x", "silent-race-" + race));
		}
	}

	// Guards against engines that work on for a caller that has left.
	@Test
	void bothEnginesAreLeftWhenTheCallerLeaves() throws Exception {
		AtomicReference<Instant> secondAsked = new AtomicReference<>();
		start((request, out) -> {
			if (isResumed(request)) {
				secondAsked.set(Instant.now());
				sleep(REFUSAL_MILLIS);
			}
			else {
				RawTarget.write(out, LoopbackCluster.events(request, 1, EVENTS_BEFORE, true).replace("0\r\n\r\n", ""));
				sleep(PAUSE_MILLIS);
			}
			return streamForLong(request, out);
		}, "one");
		Instant left;
		try (Socket caller = this.cluster.open("one", "/stream/x", "silent-left", "abc")) {
			CallerNode.readUntil(caller, "data: e2");
			while (secondAsked.get() == null) {
				sleep(EVENT_INTERVAL_MILLIS);
			}
			left = Instant.now();
		}
		while (closedEngines() < 2) {
			assertThat(Instant.now()).isBefore(left.plusMillis(PAUSE_MILLIS).plus(MAXIMUM_CANCELLATION_TIME));
			sleep(EVENT_INTERVAL_MILLIS);
		}
	}

	private long closedEngines() {
		return this.cluster.streamRequests().stream().filter("closed"::equals).count();
	}

	// Guards against an answer cut because a proxy ends its attempt before another target
	// has taken the stream.
	@Test
	void aStreamThroughAnotherNodeGoesOnAtItsEngineIfAnotherRefusesIt() throws Exception {
		start((request, out) -> {
			if (isResumed(request)) {
				sleep(REFUSAL_MILLIS);
				return refuse(request, out);
			}
			if (request.contains("silent-")) {
				return streamWithPause(request, out);
			}
			RawTarget.write(out, LoopbackCluster.events(request, 1, EVENTS_BEFORE, true));
			return true;
		}, "one", "two");
		this.cluster.cut("one", TargetLink.Way.RESET);
		for (int asked = 0; asked < REQUESTS_UNTIL_DETECTED; asked++) {
			this.cluster.ask("one", "/again/x", "lost-" + asked);
			this.cluster.ask("one", "/stream/x", "lost-stream-" + asked);
		}
		assertWhole(this.cluster.ask("one", "/stream/x", "silent-proxied"));
		assertThat(this.cluster.streamRequests()).anyMatch(SilentEngineStreamTests::isResumed);
	}

}
