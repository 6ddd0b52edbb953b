package sycamorehill.logic.group;

import java.time.Instant;

/**
 * Describes a call to the platform that has not been answered yet.
 *
 * @param number the number of the call
 * @param purpose the purpose of the call
 * @param givenUpAt the node's monotonic time after which the answer is no longer awaited
 */
public record PendingCall(long number, Purpose purpose, Instant givenUpAt) {

	/**
	 * Names the purpose of a call.
	 */
	public enum Purpose {

		/** Reads the lease of the controller. */
		READ_LEASE,

		/** Acquires, renews or releases the lease. */
		WRITE_LEASE,

		/** Reads the allocation. */
		READ_ALLOCATION,

		/** Writes the allocation. */
		WRITE_ALLOCATION

	}

}
