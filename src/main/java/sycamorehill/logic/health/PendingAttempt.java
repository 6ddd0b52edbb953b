package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.target.ServingTarget;

/**
 * An attempt under way.
 *
 * @param target where it runs
 * @param startedAt when it was sent
 * @param checkAt when it is counted as slow if its first token has not come, empty once
 * it has
 */
record PendingAttempt(ServingTarget target, Instant startedAt, Optional<Instant> checkAt) {

	PendingAttempt withCheckAt(Optional<Instant> at) {
		return new PendingAttempt(this.target, this.startedAt, at);
	}

}
