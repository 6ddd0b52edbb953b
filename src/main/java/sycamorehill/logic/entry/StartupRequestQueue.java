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
final class StartupRequestQueue {

	/** Longer than a start takes; a request that waited so long is refused. */
	private static final Duration MAXIMUM_WAIT = Duration.ofMillis(800);

	/** Requests kept; their bodies lie in memory. */
	private static final int MAXIMUM_REQUESTS = 300;

	private final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();

	/**
	 * Keeps a request.
	 * @param request the request
	 * @param now the present time
	 * @return false if too many wait already
	 */
	boolean add(CallerRequest request, Instant now) {
		if (this.waiting.size() >= MAXIMUM_REQUESTS) {
			return false;
		}
		this.waiting.put(request.number(), new QueuedRequest(request, now));
		return true;
	}

	void remove(long number) {
		this.waiting.remove(number);
	}

	/**
	 * Takes the requests that need not or must not wait any longer.
	 * @param initialized whether configuration and targets are there
	 * @param now the present time
	 * @return the requests in the order in which they came
	 */
	List<QueuedRequest> takeDue(boolean initialized, Instant now) {
		List<QueuedRequest> due = new ArrayList<>(this.waiting.values());
		due.removeIf((queued) -> !initialized && now.isBefore(queued.arrivedAt().plus(MAXIMUM_WAIT)));
		due.forEach((queued) -> remove(queued.request().number()));
		return due;
	}

	/**
	 * A request that waits.
	 *
	 * @param request the request
	 * @param arrivedAt when it came
	 */
	record QueuedRequest(CallerRequest request, Instant arrivedAt) {
	}

}
