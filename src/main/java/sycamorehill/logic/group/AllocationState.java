package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.Allocation;

/**
 * Holds what this node knows about the allocation of its data centre.
 *
 * @param known the allocation as last read or written, empty before the first read
 * @param version the version of the stored object, 0 if it does not exist yet
 * @param confirmedAt the node's monotonic time just before the call that last confirmed
 * this version as the current one
 * @param attempt the allocation that this node last wrote, until the result is known
 * @param nextReadAt the time of the next read
 */
public record AllocationState(Optional<Allocation> known, long version, Instant confirmedAt,
		Optional<Allocation> attempt, Instant nextReadAt) {

	/**
	 * Creates the state of a node that has not read the allocation yet.
	 * @return the state before the first event
	 */
	public static AllocationState initial() {
		return new AllocationState(Optional.empty(), 0, Instant.MIN, Optional.empty(), Instant.MIN);
	}

	// The versions of an object only grow, so a lower one belongs to an outdated read.
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
