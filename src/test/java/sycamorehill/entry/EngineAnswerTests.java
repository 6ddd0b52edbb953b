package sycamorehill.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.platform.PlatformAdapter;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of an engine that answers the calls of the node twice, the second
 * time in answer to the next call.
 */
class EngineAnswerTests {

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	private final Set<OutputStream> usedConnections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger calls = new AtomicInteger();

	@AfterEach
	void end() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	private RawTarget startEngine(String first, String next) throws IOException {
		return RawTarget.start((request, out) -> {
			if (!this.usedConnections.add(out)) {
				RawTarget.write(out, first);
			}
			RawTarget.write(out, (this.calls.incrementAndGet() == 1) ? first : next);
			return true;
		});
	}

	private static String report(int acceptedCommands) {
		String body = "{\"sequence\":" + acceptedCommands + "}";
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private EnginePort engines() {
		return PlatformAdapter
			.createPorts(ServingSamples.settings("one"), CallClient.of(TargetConnectionPool.of(this.eventLoops.next())))
			.engines();
	}

	// Guards against a group that counts as open although its head refused to open it.
	@Test
	void aLateAnswerToAnEarlierCommandIsNotTakenForTheNextOne() throws Exception {
		try (RawTarget engine = startEngine("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")) {
			TargetAddress address = new TargetAddress(TargetName.of("h1"), engine.address());
			EngineCommandRequest open = new EngineCommandRequest.Open("g1", 1);
			EnginePort port = engines();
			assertThat(port.sendCommand(address, open, EntryEffect.SendCommand.ANY_COUNT).join())
				.isEqualTo(EngineCommandAnswer.BEGUN);
			assertThat(port.sendCommand(address, open, EntryEffect.SendCommand.ANY_COUNT).join())
				.isEqualTo(EngineCommandAnswer.CONFLICT);
		}
	}

	// Guards against decisions on what an engine reported earlier.
	@Test
	void aLateReportIsNotTakenForTheNextOne() throws Exception {
		try (RawTarget engine = startEngine(report(1), report(2))) {
			TargetAddress address = new TargetAddress(TargetName.of("h1"), engine.address());
			EnginePort port = engines();
			assertThat(port.readReport(address).join().acceptedCommands()).isEqualTo(1);
			assertThat(port.readReport(address).join().acceptedCommands()).isEqualTo(2);
		}
	}

}
