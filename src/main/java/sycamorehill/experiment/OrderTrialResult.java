package sycamorehill.experiment;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * What a trial of orders came to.
 *
 * @param setting the trial
 * @param counts what it counted
 * @param claimMillis how long orders waited for their claim
 */
record OrderTrialResult(OrderTrialSetting setting, OrderTrialCounts counts, Histogram claimMillis) {

	static String header() {
		return "| way | nodes | orders/s | cleared % | writes/order | writes/s | conflicts % | reads/order |"
				+ " KB written/s | largest object KB | peer B/node/s | claim ms p50 | p95 | p99 |"
				+ " cleared % in the outage |\n"
				+ "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
	}

	String row() {
		double seconds = this.setting.length().toSeconds();
		double orders = this.counts.orders;
		String outage = (this.counts.duringOutage > 0)
				? "%.1f".formatted(100.0 * this.counts.clearedOfOutage / this.counts.duringOutage) : "";
		return String.format(Locale.ROOT,
				"| %s | %d | %d | %.1f | %.3f | %.1f | %.1f | %.3f | %.0f | %.0f | %.0f | %d | %d | %d | %s |",
				this.setting.name(), this.setting.nodes(), this.setting.ordersPerSecond(),
				100 * this.counts.cleared / orders, this.counts.writes / orders, this.counts.writes / seconds,
				100.0 * this.counts.conflicts / Math.max(1, this.counts.writes), this.counts.reads / orders,
				this.counts.writtenBytes / seconds / 1024, this.counts.largestObject / 1024.0,
				this.counts.messageBytes / seconds / this.setting.nodes(), this.claimMillis.getValueAtPercentile(50),
				this.claimMillis.getValueAtPercentile(95), this.claimMillis.getValueAtPercentile(99), outage);
	}

}
