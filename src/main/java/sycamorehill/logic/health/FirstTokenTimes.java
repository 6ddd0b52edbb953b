package sycamorehill.logic.health;

import java.time.Duration;

/**
 * Exponentially weighted moving average of a target's times to first token. The first
 * samples have equal weight.
 *
 * @param averageMillis the average in milliseconds
 * @param samples the number of samples in the average
 */
record FirstTokenTimes(double averageMillis, int samples) {

	private static final double MINIMUM_SAMPLE_WEIGHT = 0.2;

	static FirstTokenTimes empty() {
		return new FirstTokenTimes(0, 0);
	}

	FirstTokenTimes withSample(Duration time) {
		double millis = time.toNanos() / 1.0e6;
		double weight = Math.max(MINIMUM_SAMPLE_WEIGHT, 1.0 / (this.samples + 1));
		return new FirstTokenTimes(this.averageMillis + weight * (millis - this.averageMillis), this.samples + 1);
	}

}
