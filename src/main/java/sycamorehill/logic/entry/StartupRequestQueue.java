package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.serving.CallerRequest;

/**
 * Holds requests that arrived before this node had read its configuration and targets.
 * Both are available sooner than a refused caller would retry. When all nodes start at
 * once, callers reach nodes that are not ready.
 */
final class StartupRequestQueue {

	/** Longer than a start takes; a request that has waited this long is refused. */
	private static final Duration MAXIMUM_WAIT = Duration.ofMillis(800);

	/** Bounds the memory that the bodies of queued requests occupy. */
	private static final int MAXIMUM_REQUESTS = 300;

	private final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();

	/**
	 * Queues a request.
	 * @param request the request
	 * @param now the current time
	 * @return false if the queue is full
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
	 * Removes the requests that need not or must not wait any longer.
	 * @param releaseAll whether no request needs to wait for configuration and targets
	 * @param now the current time
	 * @return the removed requests in order of arrival
	 */
	List<QueuedRequest> takeDue(boolean releaseAll, Instant now) {
		List<QueuedRequest> due = new ArrayList<>(this.waiting.values());
		due.removeIf((queued) -> !releaseAll && now.isBefore(queued.arrivedAt().plus(MAXIMUM_WAIT)));
		due.forEach((queued) -> remove(queued.request().number()));
		return due;
	}

	/**
	 * Holds a request and its time of arrival.
	 *
	 * @param request the request
	 * @param arrivedAt when it arrived
	 */
	record QueuedRequest(CallerRequest request, Instant arrivedAt) {
	}

}
