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
 * Registers the metrics that operators monitor on a node. docs/METRICS.md explains each
 * name.
 */
final class NodeMetrics {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final long NO_TICKET = -1;

	private static final long NEVER_CONFIRMED = -1;

	private final MetricRegistry registry;

	private NodeMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	static NodeMetrics of(MetricRegistry registry) {
		return new NodeMetrics(registry);
	}

	/**
	 * Registers the resource usage of the process. The processor time of the control
	 * thread shows the cost of control apart from that of traffic.
	 * @param controlThread the identifier of the control thread
	 */
	void registerProcess(long controlThread) {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		registerDouble("process.control-cpu-seconds",
				() -> threads.getThreadCpuTime(controlThread) / NANOSECONDS_PER_SECOND);
		registerLong("process.threads", threads::getThreadCount);
		registerLong("process.heap-used-bytes", () -> heap().getUsed());
		registerLong("process.heap-bound-bytes", () -> heap().getMax());
		registerLong("process.direct-used-bytes", NodeMetrics::directBytes);
	}

	/**
	 * Registers the counters of the traffic between nodes.
	 * @param counters the counters of the transport
	 */
	void registerPeers(PeerCounters counters) {
		registerLong("peer.sent-bytes", counters::sentBytes);
		registerLong("peer.received-bytes", counters::receivedBytes);
		registerLong("peer.sent-frames", counters::sentFrames);
		registerLong("peer.received-frames", counters::receivedFrames);
		registerLong("peer.refused-connections", counters::refusedConnections);
		registerLong("peer.unknown-messages", counters::unknownTypes);
		registerLong("peer.failed-sends", counters::failedSends);
	}

	/**
	 * Registers metrics of the node's state and the age of its group allocation.
	 * @param state supplies the last published state
	 * @param clock the monotonic clock
	 */
	void registerState(Supplier<NodeState> state, InstantSource clock) {
		registerLong("state.ticket", () -> state.get().desiredState().map(DesiredState::number).orElse(NO_TICKET));
		registerLong("state.live-nodes", () -> state.get().membership().liveNodes().nodes().size());
		registerLong("state.requests-in-flight", () -> state.get().request().inFlight());
		registerLong("state.ready", () -> state.get().ready() ? 1 : 0);
		registerLong("state.groups",
				() -> state.get().group().allocation().known().map((known) -> known.groups().size()).orElse(0));
		registerLong("state.allocation-age-milliseconds", () -> allocationAge(state.get(), clock));
	}

	private static long allocationAge(NodeState state, InstantSource clock) {
		AllocationState allocation = state.group().allocation();
		return allocation.known().isPresent() ? Duration.between(allocation.confirmedAt(), clock.instant()).toMillis()
				: NEVER_CONFIRMED;
	}

	private void registerLong(String name, LongSupplier value) {
		this.registry.register(name, (Gauge<Long>) value::getAsLong);
	}

	private void registerDouble(String name, Supplier<Double> value) {
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
