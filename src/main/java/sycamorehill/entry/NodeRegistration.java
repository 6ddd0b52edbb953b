package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.runtime.EventLog;

/**
 * Keeps an entry node in the registry of nodes, and lists the others. Runs on the single
 * event loop of the node.
 */
final class NodeRegistration {

	/** Delay before a failed call to the registry of entry nodes is retried. */
	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	/**
	 * Interval at which the entry nodes are listed. Nodes introduce themselves to each
	 * other; the list covers lost introductions and nodes that are gone.
	 */
	private static final Duration LIST_INTERVAL = Duration.ofSeconds(20);

	private final NodeRegistry registry;

	private final NodeRecord self;

	private final String incarnation;

	private final EventLoop loop;

	private final Consumer<List<NodeRecord>> listener;

	private CompletableFuture<Optional<NodeRegistry.EarlierEntry>> registering = CompletableFuture
		.completedFuture(Optional.empty());

	private boolean removed;

	private NodeRegistration(NodeRegistry registry, NodeRecord self, String incarnation, EventLoop loop,
			Consumer<List<NodeRecord>> listener) {
		this.registry = registry;
		this.self = self;
		this.incarnation = incarnation;
		this.loop = loop;
		this.listener = listener;
	}

	/**
	 * Creates the registration of a node.
	 * @param registry the registry
	 * @param self the node's record
	 * @param incarnation identifier of the life of its process
	 * @param loop the event loop of the node
	 * @param listener receives each list of the nodes
	 * @return the registration
	 */
	static NodeRegistration of(NodeRegistry registry, NodeRecord self, String incarnation, EventLoop loop,
			Consumer<List<NodeRecord>> listener) {
		return new NodeRegistration(registry, self, incarnation, loop, listener);
	}

	/**
	 * Registers the node, then lists the nodes. Of two nodes that start at the same time,
	 * the one that lists later finds the other and introduces itself.
	 */
	void start() {
		CompletableFuture<Optional<NodeRegistry.EarlierEntry>> call = this.registry.register(this.self,
				this.incarnation);
		this.registering = call;
		call.whenCompleteAsync((earlier, failure) -> {
			if (this.removed) {
				return;
			}
			if (failure != null) {
				logFailure("registering this node", failure);
				schedule(this::start, RETRY_DELAY);
			}
			else {
				earlier.ifPresent(this::logEarlierLife);
				list(true);
			}
		}, this.loop);
	}

	private void logEarlierLife(NodeRegistry.EarlierEntry earlier) {
		EventLog.write(LogLine.of(LogEvent.EARLIER_LIFE_UNPLANNED, "node=" + this.self.name() + " incarnation="
				+ earlier.incarnation().orElse("unknown") + " registered-at-revision=" + earlier.revision()));
	}

	private void list(boolean consistent) {
		this.registry.list(consistent).whenCompleteAsync((nodes, failure) -> {
			if (failure != null) {
				logFailure("listing the nodes", failure);
				schedule(() -> list(consistent), RETRY_DELAY);
			}
			else {
				this.listener.accept(nodes);
				schedule(() -> list(false), LIST_INTERVAL);
			}
		}, this.loop);
	}

	/**
	 * Removes the node from the registry, after a registration that is under way: it
	 * would outlast the process.
	 */
	void remove() {
		this.removed = true;
		this.registering.handle((earlier, failure) -> this.self.name())
			.thenCompose(this.registry::deregister)
			.exceptionally((failure) -> {
				logFailure("deregistering this node", failure);
				return null;
			});
	}

	private void schedule(Runnable task, Duration pause) {
		this.loop.schedule(() -> runUnlessRemoved(task), pause.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void runUnlessRemoved(Runnable task) {
		if (!this.removed) {
			task.run();
		}
	}

	private static void logFailure(String call, Throwable failure) {
		EventLog.write(LogLine.of(LogEvent.STORE_CONTACT, call + " failed: " + failure.getMessage()));
	}

}
