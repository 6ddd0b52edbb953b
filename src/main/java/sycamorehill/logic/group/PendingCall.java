package sycamorehill.logic.group;

import java.time.Instant;

/**
 * A call of the part to the platform whose answer has not come.
 *
 * @param number the call's number
 * @param purpose what it is for
 * @param givenUpAt own monotonic time at which it is given up
 */
public record PendingCall(long number, Purpose purpose, Instant givenUpAt) {

	/**
	 * What a call is for.
	 */
	public enum Purpose {

		/** Reads the controller's lease. */
		READ_LEASE,

		/** Takes, renews or gives back the lease. */
		WRITE_LEASE,

		/** Reads the allocation. */
		READ_ALLOCATION,

		/** Changes the allocation. */
		WRITE_ALLOCATION

	}

}
