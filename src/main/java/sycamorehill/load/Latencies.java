package sycamorehill.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a time in milliseconds.
 *
 * @param count how often it was measured
 * @param median half are below
 * @param percentile95 95 in 100 are below
 * @param percentile99 99 in 100 are below
 * @param highest the highest
 */
public record Latencies(long count, double median, double percentile95, double percentile99, double highest) {

	private static final double MICROS_PER_MILLI = 1000.0;

	static Latencies of(Histogram micros) {
		return new Latencies(micros.getTotalCount(), at(micros, 50), at(micros, 95), at(micros, 99),
				micros.getMaxValue() / MICROS_PER_MILLI);
	}

	private static double at(Histogram micros, double percentile) {
		return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

}
