package sycamorehill.logic.request;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.identity.RequestIdentifier;

/**
 * Scheduled check of a request.
 *
 * @param at the monotonic time of the check
 * @param request the request
 */
public record Wakeup(Instant at, RequestIdentifier request) implements Comparable<Wakeup> {

	private static final Comparator<Wakeup> ORDER = Comparator.comparing(Wakeup::at)
		.thenComparingLong((wakeup) -> wakeup.request.number())
		.thenComparing((wakeup) -> wakeup.request.incarnation().node())
		.thenComparingLong((wakeup) -> wakeup.request.incarnation().number());

	@Override
	public int compareTo(Wakeup other) {
		return ORDER.compare(this, other);
	}

}
