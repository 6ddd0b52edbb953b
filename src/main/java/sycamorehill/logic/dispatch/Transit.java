package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks one attempt until its target is known to have received the request, or will
 * never receive it.
 */
final class Transit {

	private final Instant sentAt;

	private Optional<Instant> settledAt = Optional.empty();

	private Transit(Instant sentAt) {
		this.sentAt = sentAt;
	}

	static Transit startedAt(Instant sentAt) {
		return new Transit(sentAt);
	}

	/**
	 * Records that the target has received the request, or never will.
	 * @param now the current time
	 */
	void settle(Instant now) {
		if (this.settledAt.isEmpty()) {
			this.settledAt = Optional.of(now);
		}
	}

	boolean isSettled() {
		return this.settledAt.isPresent();
	}

	/**
	 * Returns for how long of a period the request was overdue.
	 * @param transitTime time after which a request is overdue
	 * @param start start of the period
	 * @param end end of the period
	 * @return the time
	 */
	Duration overdue(Duration transitTime, Instant start, Instant end) {
		Instant due = this.sentAt.plus(transitTime);
		Instant from = due.isAfter(start) ? due : start;
		Instant until = this.settledAt.filter((at) -> at.isBefore(end)).orElse(end);
		return from.isBefore(until) ? Duration.between(from, until) : Duration.ZERO;
	}

}
