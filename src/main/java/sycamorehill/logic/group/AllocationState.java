package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.Allocation;

/**
 * What a node knows of the allocation of its data centre.
 *
 * @param known the allocation as last read or written, empty before the first read
 * @param version the version of the object, 0 if there is none yet
 * @param confirmedAt own monotonic time from before the call that last showed this
 * version to be the present one
 * @param attempt the own last write, until its effect is known
 * @param nextReadAt when it is read next
 */
public record AllocationState(Optional<Allocation> known, long version, Instant confirmedAt,
		Optional<Allocation> attempt, Instant nextReadAt) {

	/**
	 * Nothing known yet.
	 * @return the state before the first event
	 */
	public static AllocationState initial() {
		return new AllocationState(Optional.empty(), 0, Instant.MIN, Optional.empty(), Instant.MIN);
	}

	// A stale read never takes the view back: versions of one object only grow.
	AllocationState withConfirmed(Allocation allocation, long readVersion, Instant sentAt) {
		if (readVersion < this.version) {
			return this;
		}
		return new AllocationState(Optional.of(allocation), readVersion, sentAt, Optional.empty(), this.nextReadAt);
	}

	AllocationState withAttempt(Allocation changed) {
		return new AllocationState(this.known, this.version, this.confirmedAt, Optional.of(changed), this.nextReadAt);
	}

	AllocationState withoutAttempt() {
		return new AllocationState(this.known, this.version, this.confirmedAt, Optional.empty(), this.nextReadAt);
	}

	AllocationState withNextReadAt(Instant changed) {
		return new AllocationState(this.known, this.version, this.confirmedAt, this.attempt, changed);
	}

}
