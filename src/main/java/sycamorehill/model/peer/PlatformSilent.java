package sycamorehill.model.peer;

/**
 * The sender, a steward, has had no answer of the platform for a while.
 *
 * @param allocationVersion version of the allocation that it knows
 */
public record PlatformSilent(long allocationVersion) implements PeerMessage {
}
