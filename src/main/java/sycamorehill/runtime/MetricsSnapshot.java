package sycamorehill.runtime;

import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Holds the values of all metrics of a process at one time.
 *
 * @param gauges the current values
 * @param counters the counts since the start of the process
 * @param timers the counts, rates per second and percentiles in milliseconds
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
	 * Holds the values of one timer.
	 *
	 * @param count the number of measurements
	 * @param perSecond the rate of measurements per second over the last minute
	 * @param median the median in milliseconds
	 * @param percentile95 the 95th percentile in milliseconds
	 * @param percentile99 the 99th percentile in milliseconds
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
