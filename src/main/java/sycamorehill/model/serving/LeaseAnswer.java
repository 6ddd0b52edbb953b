package sycamorehill.model.serving;

/**
 * Answer of the store to a call about the lease.
 */
public sealed interface LeaseAnswer {

	/**
	 * The lease was read, or was written by this process.
	 *
	 * @param lease the lease
	 * @param written whether this process wrote it
	 */
	record Present(Lease lease, boolean written) implements LeaseAnswer {
	}

	/**
	 * Another process changed the lease first.
	 *
	 * @param lease the current lease
	 */
	record Conflict(Lease lease) implements LeaseAnswer {
	}

	/** The lease doesn't exist. */
	record Absent() implements LeaseAnswer {
	}

	/**
	 * The store did not answer or refused the call. A write may have taken effect.
	 *
	 * @param cause observed error
	 */
	record Unavailable(String cause) implements LeaseAnswer {
	}

}
