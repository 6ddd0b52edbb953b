package sycamorehill.load;

import java.util.List;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a time in milliseconds.
 *
 * @param count how often it was measured
 * @param median half are below
 * @param percentile95 95 in 100 are below
 * @param percentile99 99 in 100 are below
 * @param highest the highest
 * @param curve the time at each whole percentile
 */
public record Latencies(long count, double median, double percentile95, double percentile99, double highest,
		List<Point> curve) {

	private static final double MICROS_PER_MILLI = 1000.0;

	private static final int HIGHEST_PERCENTILE = 100;

	static Latencies of(Histogram micros) {
		List<Point> curve = IntStream.rangeClosed(1, HIGHEST_PERCENTILE)
			.mapToObj((percentile) -> new Point(percentile, at(micros, percentile)))
			.toList();
		return new Latencies(micros.getTotalCount(), at(micros, 50), at(micros, 95), at(micros, 99),
				micros.getMaxValue() / MICROS_PER_MILLI, curve);
	}

	/**
	 * The percentiles for people.
	 * @return one line
	 */
	public String text() {
		return String.format("50%%: %.1f, 95%%: %.1f, 99%%: %.1f, highest: %.1f (of %d)", this.median,
				this.percentile95, this.percentile99, this.highest, this.count);
	}

	private static double at(Histogram micros, double percentile) {
		return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * One point of the curve.
	 *
	 * @param percentile how many in 100 are below
	 * @param milliseconds the time
	 */
	public record Point(double percentile, double milliseconds) {

	}

}
