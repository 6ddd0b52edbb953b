package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.target.ServingTarget;

/**
 * A running attempt.
 *
 * @param target the target that the attempt was sent to
 * @param startedAt the monotonic time at which the attempt was sent
 * @param checkAt the time from which a missing first token counts as a sample, empty once
 * the token has arrived
 */
record PendingAttempt(ServingTarget target, Instant startedAt, Optional<Instant> checkAt) {

	PendingAttempt withCheckAt(Optional<Instant> at) {
		return new PendingAttempt(this.target, this.startedAt, at);
	}

}
