package sycamorehill.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.NodeRecord;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the registration of a node beside its stop.
 */
class NodeRegistrationTests {

	private final EventLoop loop = new NioEventLoopGroup(1).next();

	private final SlowRegistry registry = new SlowRegistry();

	private final NodeRegistration registration = NodeRegistration.of(this.registry,
			ServingSamples.settings("one").toNodeRecord(), "one#1", this.loop, (nodes) -> {
			});

	@AfterEach
	void end() {
		this.loop.shutdownGracefully();
	}

	// A registration that arrives after the removal leaves the entry of a node that has
	// stopped as planned.
	@Test
	void aNodeThatStopsWhileItRegistersIsRemovedAfterwards() throws Exception {
		this.registration.start();
		this.loop.submit(this.registration::remove).get();
		assertThat(this.registry.calls).containsExactly("register");
		this.registry.registering.complete(Optional.empty());
		this.loop.submit(() -> {
		}).get();
		assertThat(this.registry.calls).containsExactly("register", "deregister one");
	}

	/**
	 * Registry whose registration ends when a test completes it.
	 */
	private static final class SlowRegistry implements NodeRegistry {

		private final List<String> calls = new ArrayList<>();

		private final CompletableFuture<Optional<EarlierEntry>> registering = new CompletableFuture<>();

		@Override
		public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation) {
			this.calls.add("register");
			return this.registering;
		}

		@Override
		public CompletableFuture<List<NodeRecord>> list(boolean consistent) {
			this.calls.add("list");
			return CompletableFuture.completedFuture(List.of());
		}

		@Override
		public CompletableFuture<Void> deregister(String name) {
			this.calls.add("deregister " + name);
			return CompletableFuture.completedFuture(null);
		}

	}

}
