package sycamorehill.model.request;

/**
 * Hash over workspace, service and idempotency key.
 *
 * @param high upper half
 * @param low lower half
 */
public record OrderKey(long high, long low) {

}
