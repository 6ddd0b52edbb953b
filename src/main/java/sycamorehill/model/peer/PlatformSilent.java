package sycamorehill.model.peer;

/**
 * Reports to the other stewards that the platform does not answer the sender.
 *
 * @param allocationVersion the version of the allocation that the sender knows
 */
public record PlatformSilent(long allocationVersion) implements PeerMessage {
}
