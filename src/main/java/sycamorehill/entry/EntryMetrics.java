package sycamorehill.entry;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

import sycamorehill.logic.entry.EntryReducer;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;

/**
 * Metrics of an entry node. They are counted from effects, so that the log and the
 * metrics agree on each decision. All methods run on the single event loop of the node.
 */
final class EntryMetrics {

	private static final String DIRECT_BUFFERS = "direct";

	private static final String METASPACE = "Metaspace";

	private static final String REFUSED_OVER_SHARE = "requests.refused-over-share.";

	private final MetricRegistry registry = new MetricRegistry();

	private final CollectorRegistry collectors = new CollectorRegistry();

	private EntryMetrics(EntryReducer reducer, LoopGuard guard) {
		gauge("requests.active", reducer::activeRequests);
		gauge("targets.known", reducer::knownTargets);
		gauge("targets.cold", reducer::coldTargets);
		gauge("targets.slow-start", reducer::slowStarts);
		gauge("nodes.living", reducer::liveNodes);
		gauge("retries.share", () -> reducer.retryShare().retries());
		gauge("retries.share-nodes", () -> reducer.retryShare().nodes());
		gauge("retries.share-unconfirmed", () -> reducer.retryShare().unconfirmedNodes());
		gauge("configuration.version", reducer::configurationVersion);
		gauge("store.reached", () -> reducer.isStoreReachable() ? 1 : 0);
		gauge("data-centres.evacuated", reducer::evacuatedDataCentres);
		gauge("loop.failures", guard::failures);
		gauge("loop.unlogged-failures", guard::unloggedFailures);
		gauge("process.heap-used-bytes", () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
		registerMemory();
		new DropwizardExports(this.registry).register(this.collectors);
	}

	static EntryMetrics of(EntryReducer reducer, LoopGuard guard) {
		return new EntryMetrics(reducer, guard);
	}

	private void registerMemory() {
		ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
			.stream()
			.filter((pool) -> DIRECT_BUFFERS.equals(pool.getName()))
			.forEach((pool) -> {
				gauge("process.direct-used-bytes", pool::getMemoryUsed);
				gauge("process.direct-buffers", pool::getCount);
			});
		ManagementFactory.getMemoryPoolMXBeans()
			.stream()
			.filter((pool) -> METASPACE.equals(pool.getName()))
			.forEach((pool) -> gauge("process.metaspace-used-bytes", () -> pool.getUsage().getUsed()));
	}

	/**
	 * Registers a value that is read when the metrics are.
	 * @param name name of the metric
	 * @param value supplies the value
	 */
	void gauge(String name, DoubleSupplier value) {
		this.registry.register(name, (Gauge<Double>) value::getAsDouble);
	}

	/**
	 * Counts a decision by the event code of its log line.
	 * @param line the log line of the decision
	 */
	void countEvent(LogLine line) {
		this.registry.counter("events." + line.event().name()).inc();
	}

	/**
	 * Counts a final answer and records its times.
	 * @param finished the answer
	 */
	void recordAnswer(EntryEffect.Finished finished) {
		String name = "requests." + finished.service() + '.' + finished.outcome();
		this.registry.counter(name).inc();
		recordTime(name + ".time", finished.elapsed());
		finished.timeToFirstAnswer()
			.ifPresent((time) -> recordTime("requests." + finished.service() + ".first-answer", time));
	}

	/**
	 * Counts an answer that this node broke off.
	 * @param kind first part of the name of the metric
	 * @param cause why its connection was closed
	 */
	void countCutAnswer(String kind, CutCause cause) {
		this.registry.counter(kind + ".cut." + cause).inc();
	}

	/**
	 * Counts a decision of a retry budget.
	 * @param decided the decision
	 */
	void countRetry(EntryEffect.RetryDecided decided) {
		String outcome = decided.allowed() ? "allowed" : "refused";
		this.registry.counter("retries." + decided.service() + '.' + outcome).inc();
	}

	/**
	 * Counts a refusal of a request whose workspace was over its fair share.
	 * @param refused the refusal
	 */
	void countRefusalOverShare(EntryEffect.RefusedOverShare refused) {
		this.registry.counter(REFUSED_OVER_SHARE + refused.workspace()).inc();
	}

	/**
	 * Removes the counters of other workspaces.
	 * @param workspaces the workspaces of the configuration
	 */
	void retainWorkspaces(Set<WorkspaceName> workspaces) {
		Set<String> retained = workspaces.stream()
			.map((workspace) -> REFUSED_OVER_SHARE + workspace)
			.collect(Collectors.toSet());
		this.registry.removeMatching((name, metric) -> name.startsWith(REFUSED_OVER_SHARE) && !retained.contains(name));
	}

	private void recordTime(String name, Duration time) {
		this.registry.timer(name, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()))
			.update(time.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns all metrics in the text format of Prometheus.
	 * @return the page
	 */
	PageServer.Page page() {
		StringWriter text = new StringWriter();
		try {
			TextFormat.write004(text, this.collectors.metricFamilySamples());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return new PageServer.Page(HttpResponseStatus.OK, TextFormat.CONTENT_TYPE_004, text.toString());
	}

}
