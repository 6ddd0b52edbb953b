package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Counts what targets and callers see of one service, from all nodes together: arrivals
 * beyond the first of their request, and requests.
 */
public final class RetryCount {

	private final Set<Long> arrivedRequests = new HashSet<>();

	private final List<Long> requestTimes = new ArrayList<>();

	private final List<Long> repeatTimes = new ArrayList<>();

	/**
	 * Records a request of a caller.
	 * @param now the current time
	 */
	public void recordRequest(Instant now) {
		this.requestTimes.add(now.toEpochMilli());
	}

	/**
	 * Records that a request arrives at a target.
	 * @param request the request
	 * @param now the current time
	 */
	public void recordArrival(long request, Instant now) {
		if (!this.arrivedRequests.add(request)) {
			this.repeatTimes.add(now.toEpochMilli());
		}
	}

	/**
	 * Evaluates all windows. The requests of a window are counted in it, in the one
	 * before it, or half of its length earlier, whichever has most.
	 * @param bound the bound on the repeats of all nodes
	 * @return what was counted
	 */
	public Result evaluate(Bound bound) {
		long[] repeats = sorted(this.repeatTimes);
		long[] requests = sorted(this.requestTimes);
		long window = bound.window().toMillis();
		Optional<Excess> worst = Optional.empty();
		int most = 0;
		for (long start : repeats) {
			int sent = count(repeats, start, start + window);
			int asked = Math.max(count(requests, start, start + window), Math
				.max(count(requests, start - window, start), count(requests, start - window / 2, start + window / 2)));
			double allowed = bound.ratio() * asked + bound.allowance();
			most = Math.max(most, sent);
			if (sent > allowed && worst.filter((other) -> other.beyond() >= sent - allowed).isEmpty()) {
				worst = Optional.of(new Excess(Instant.ofEpochMilli(start), sent, asked, allowed));
			}
		}
		return new Result(repeats.length, requests.length, most, worst);
	}

	private static long[] sorted(List<Long> times) {
		return times.stream().mapToLong(Long::longValue).sorted().toArray();
	}

	private static int count(long[] times, long from, long to) {
		return lowerBound(times, to + 1) - lowerBound(times, from);
	}

	private static int lowerBound(long[] times, long from) {
		int index = Arrays.binarySearch(times, from);
		int bound = (index >= 0) ? index : -index - 1;
		while (bound > 0 && times[bound - 1] == from) {
			bound--;
		}
		return bound;
	}

	/**
	 * The bound on repeats.
	 *
	 * @param window length of the window
	 * @param ratio repeats allowed per request
	 * @param allowance further repeats allowed in a window
	 */
	public record Bound(Duration window, double ratio, double allowance) {
	}

	/**
	 * A window with more repeats than allowed.
	 *
	 * @param start its start
	 * @param sent number of repeats
	 * @param asked number of requests
	 * @param allowed number of repeats that are allowed
	 */
	public record Excess(Instant start, int sent, int asked, double allowed) {

		private double beyond() {
			return this.sent - this.allowed;
		}

	}

	/**
	 * What was counted.
	 *
	 * @param repeats number of repeats
	 * @param requests number of requests
	 * @param most most repeats in a window
	 * @param worst the window that exceeds the bound by most; empty if none does
	 */
	public record Result(int repeats, int requests, int most, Optional<Excess> worst) {
	}

}
