package sycamorehill.runtime;

import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * All metrics of a process at one moment.
 *
 * @param gauges present values
 * @param counters counts since the start
 * @param timers counts, rates a second and percentiles in milliseconds
 */
record MetricsSnapshot(SortedMap<String, Object> gauges, SortedMap<String, Long> counters,
		SortedMap<String, TimerValues> timers) {

	private static final double NANOSECONDS_PER_MILLISECOND = 1_000_000.0;

	static MetricsSnapshot of(MetricRegistry registry) {
		SortedMap<String, Object> gauges = new TreeMap<>();
		registry.getGauges().forEach((name, gauge) -> gauges.put(name, ((Gauge<?>) gauge).getValue()));
		SortedMap<String, Long> counters = new TreeMap<>();
		registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
		SortedMap<String, TimerValues> timers = new TreeMap<>();
		registry.getTimers().forEach((name, timer) -> timers.put(name, TimerValues.of(timer)));
		return new MetricsSnapshot(gauges, counters, timers);
	}

	/**
	 * One timer.
	 *
	 * @param count how often it was measured
	 * @param perSecond rate over the last minute
	 * @param median half of the values are below, in milliseconds
	 * @param percentile95 95 in 100 are below, in milliseconds
	 * @param percentile99 99 in 100 are below, in milliseconds
	 */
	record TimerValues(long count, double perSecond, double median, double percentile95, double percentile99) {

		static TimerValues of(Timer timer) {
			Snapshot snapshot = timer.getSnapshot();
			return new TimerValues(timer.getCount(), timer.getOneMinuteRate(),
					snapshot.getMedian() / NANOSECONDS_PER_MILLISECOND,
					snapshot.get95thPercentile() / NANOSECONDS_PER_MILLISECOND,
					snapshot.get99thPercentile() / NANOSECONDS_PER_MILLISECOND);
		}

	}

}
