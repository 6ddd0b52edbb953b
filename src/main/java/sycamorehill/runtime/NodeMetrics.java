package sycamorehill.runtime;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import sycamorehill.logic.group.AllocationState;
import sycamorehill.logic.node.NodeState;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.peer.PeerCounters;

/**
 * Registers what operators watch of a node. docs/METRICS.md explains each name.
 */
final class NodeMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NO_TRUTH = -1;

	private static final long NEVER_SEEN = -1;

	private final MetricRegistry registry;

	private NodeMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	static NodeMetrics of(MetricRegistry registry) {
		return new NodeMetrics(registry);
	}

	/**
	 * What the process costs. The control thread's own processor time shows what control
	 * takes, apart from traffic.
	 * @param controlThread identifies the control thread
	 */
	void process(long controlThread) {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		number("process.control-cpu-seconds", () -> threads.getThreadCpuTime(controlThread) / NANOS_PER_SECOND);
		whole("process.threads", threads::getThreadCount);
		whole("process.heap-used-bytes", () -> heap().getUsed());
		whole("process.heap-bound-bytes", () -> heap().getMax());
		whole("process.direct-used-bytes", NodeMetrics::directBytes);
	}

	/**
	 * What goes between nodes.
	 * @param counters counts of the transport
	 */
	void peers(PeerCounters counters) {
		whole("peer.sent-bytes", counters::sentBytes);
		whole("peer.received-bytes", counters::receivedBytes);
		whole("peer.sent-frames", counters::sentFrames);
		whole("peer.received-frames", counters::receivedFrames);
		whole("peer.refused-connections", counters::refusedConnections);
		whole("peer.unknown-messages", counters::unknownTypes);
		whole("peer.failed-sends", counters::failedSends);
	}

	/**
	 * What the node knows, and how old it is.
	 * @param state the last published state
	 * @param clock monotonic time
	 */
	void state(Supplier<NodeState> state, InstantSource clock) {
		whole("state.ticket", () -> state.get().desiredState().map(DesiredState::number).orElse(NO_TRUTH));
		whole("state.live-nodes", () -> state.get().membership().liveNodes().nodes().size());
		whole("state.requests-in-flight", () -> state.get().request().inFlight());
		whole("state.ready", () -> state.get().ready() ? 1 : 0);
		whole("state.groups",
				() -> state.get().group().allocation().known().map((known) -> known.groups().size()).orElse(0));
		whole("state.allocation-age-milliseconds", () -> age(state.get(), clock));
	}

	private static long age(NodeState state, InstantSource clock) {
		AllocationState allocation = state.group().allocation();
		return allocation.known().isPresent() ? Duration.between(allocation.confirmedAt(), clock.instant()).toMillis()
				: NEVER_SEEN;
	}

	private void whole(String name, LongSupplier value) {
		this.registry.register(name, (Gauge<Long>) value::getAsLong);
	}

	private void number(String name, Supplier<Double> value) {
		this.registry.register(name, (Gauge<Double>) value::get);
	}

	private static MemoryUsage heap() {
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
	}

	private static long directBytes() {
		return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
			.stream()
			.mapToLong(BufferPoolMXBean::getMemoryUsed)
			.sum();
	}

}
