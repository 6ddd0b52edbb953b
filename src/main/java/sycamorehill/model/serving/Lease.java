package sycamorehill.model.serving;

/**
 * Exclusive right to control the groups, as stored in the platform's store.
 *
 * @param holder the process that holds the lease; empty if it was released
 * @param term term of the holder, which grows with each new holder
 * @param revision the store's revision of the object; only one write that names it
 * succeeds
 * @param recentTerms number of terms that ended shortly before that of the holder; what
 * their holders did counts for limits on all controllers together
 */
public record Lease(String holder, long term, long revision, int recentTerms) {

	/**
	 * Creates a lease whose holder has held it for long.
	 * @param holder the process that holds the lease; empty if it was released
	 * @param term term of the holder
	 * @param revision the store's revision of the object
	 */
	public Lease(String holder, long term, long revision) {
		this(holder, term, revision, 0);
	}

}
