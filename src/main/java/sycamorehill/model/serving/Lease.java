package sycamorehill.model.serving;

/**
 * The right to control the groups, as it stands in the store.
 *
 * @param holder the process that holds it; empty if it was given back
 * @param term grows with each new holder
 * @param revision the store's revision of the object; a write under it succeeds once
 */
public record Lease(String holder, long term, long revision) {
}
