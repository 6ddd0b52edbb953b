package sycamorehill.model.serving;

/**
 * Answer of the store to a call about the lease.
 */
public sealed interface LeaseAnswer {

	/**
	 * The object as read, or as written by this process.
	 *
	 * @param lease the lease
	 * @param written whether this process wrote it
	 */
	record Present(Lease lease, boolean written) implements LeaseAnswer {
	}

	/**
	 * Somebody else changed the object first.
	 *
	 * @param lease the lease as it is
	 */
	record Conflict(Lease lease) implements LeaseAnswer {
	}

	/** No such object exists. */
	record Absent() implements LeaseAnswer {
	}

	/**
	 * No answer, or a refusal: a write may have been carried out.
	 *
	 * @param cause what was seen
	 */
	record Unavailable(String cause) implements LeaseAnswer {
	}

}
