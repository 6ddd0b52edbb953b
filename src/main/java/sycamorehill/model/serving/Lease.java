package sycamorehill.model.serving;

/**
 * Exclusive right to control the groups, as stored in the platform's store.
 *
 * @param holder the process that holds the lease; empty if it was released
 * @param term term of the holder, which grows with each new holder
 * @param revision the store's revision of the object; only one write that names it
 * succeeds
 */
public record Lease(String holder, long term, long revision) {
}
