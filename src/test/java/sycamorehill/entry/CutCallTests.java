package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.support.CutAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers to calls of the node itself that end at each byte, by a close and by a
 * reset.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutCallTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	private RawTarget server;

	private CallClient client;

	@BeforeAll
	void start() throws IOException {
		this.server = RawTarget
			.start((request, out) -> CutResponder.respond(request, out, RawTarget.responder(LoopbackCluster::hello)));
		this.client = CallClient.of(TargetConnectionPool.of(this.eventLoops.next()));
	}

	@AfterAll
	void close() throws IOException {
		this.server.close();
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	// Guards against a part of a list, a lease or a report that counts as the whole.
	@ParameterizedTest
	@EnumSource
	void aCutAnswerToACallIsNoAnswer(CutAnswer answer) {
		List<String> faults = new ArrayList<>();
		for (CutAnswer.Cut cut : answer.cuts()) {
			Optional<CallAnswer> received = call(cut);
			boolean whole = cut.isWhole() && !answer.isUnframed();
			boolean faulty = received.map((call) -> !whole || !isOwn(call, cut)).orElse(whole);
			if (faulty) {
				faults.add(cut + ": " + received.map((call) -> new String(call.body())));
			}
		}
		assertThat(faults).isEmpty();
	}

	private static boolean isOwn(CallAnswer call, CutAnswer.Cut cut) {
		return call.status() == cut.answer().status() && new String(call.body()).equals(cut.body());
	}

	private Optional<CallAnswer> call(CutAnswer.Cut cut) {
		TargetAddress address = new TargetAddress(TargetName.of("server"), this.server.address());
		return this.client
			.call(CallClient.Call.get(address, "/any"), new CallClient.Header("Attempt-Id", cut.identifier()), TIMEOUT)
			.handle((answer, failure) -> Optional.ofNullable(answer))
			.join();
	}

}
