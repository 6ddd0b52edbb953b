package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.serving.CallerRequest;

/**
 * Requests that came before this node had read its configuration and targets. Both are
 * there sooner than a caller that is refused comes back. When all nodes start at once,
 * callers reach nodes that are not ready.
 */
final class EarlyRequests {

	/** Longer than a start takes; a request that waited so long is refused. */
	private static final Duration LONGEST = Duration.ofMillis(800);

	/** Requests kept; their bodies lie in memory. */
	private static final int MOST = 300;

	private final Map<Long, Early> waiting = new LinkedHashMap<>();

	/**
	 * Keeps a request.
	 * @param request the request
	 * @param now the present time
	 * @return false if too many wait already
	 */
	boolean add(CallerRequest request, Instant now) {
		if (this.waiting.size() >= MOST) {
			return false;
		}
		this.waiting.put(request.number(), new Early(request, now));
		return true;
	}

	void remove(long number) {
		this.waiting.remove(number);
	}

	/**
	 * Takes the requests that need not or must not wait any longer.
	 * @param known whether configuration and targets are there
	 * @param now the present time
	 * @return the requests in the order in which they came
	 */
	List<Early> take(boolean known, Instant now) {
		List<Early> due = new ArrayList<>(this.waiting.values());
		due.removeIf((early) -> !known && now.isBefore(early.since().plus(LONGEST)));
		due.forEach((early) -> remove(early.request().number()));
		return due;
	}

	/**
	 * A request that waits.
	 *
	 * @param request the request
	 * @param since when it came
	 */
	record Early(CallerRequest request, Instant since) {
	}

}
