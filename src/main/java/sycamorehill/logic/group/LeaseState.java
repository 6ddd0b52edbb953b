package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.ControllerLease;

/**
 * What a node knows of the controller's lease.
 *
 * @param seen the lease as last read or written, empty if there was none
 * @param version the version of the object, 0 if there was none
 * @param seenSince own monotonic time at which exactly this renewal was first seen
 * @param attempt the own last write whose effect is not yet known or has taken effect
 * @param heldUntil until when the own lease holds, on the own monotonic clock
 * @param nextAt when the next call is made
 * @param readAt own monotonic time at which the lease was last seen in the platform
 * @param readFirst whether the view may miss a write, so that a read comes before the
 * next one
 */
public record LeaseState(Optional<ControllerLease> seen, long version, Instant seenSince,
		Optional<LeaseAttempt> attempt, Instant heldUntil, Instant nextAt, Instant readAt, boolean readFirst) {

	/**
	 * Nothing known yet.
	 * @return the state before the first event
	 */
	public static LeaseState initial() {
		return new LeaseState(Optional.empty(), 0, Instant.MIN, Optional.empty(), Instant.MIN, Instant.MIN, Instant.MIN,
				true);
	}

	/**
	 * Whether the own lease holds.
	 * @param now own monotonic time
	 * @return whether this node is the controller
	 */
	public boolean isHeld(Instant now) {
		return now.isBefore(this.heldUntil);
	}

	/**
	 * The fencing number of the lease as last seen.
	 * @return the number, 0 if there was none
	 */
	public long fencingNumber() {
		return this.seen.map(ControllerLease::fencingNumber).orElse(0L);
	}

	// Failure: the platform was silent for minutes, nobody could renew, and at its
	// return another node takes the lease before the holder can; what the holder did
	// meanwhile is undone. The lease is waited for anew when the reads have been cut
	// off.
	LeaseState withSeen(ControllerLease lease, long changedVersion, Instant now) {
		boolean gap = !this.readAt.equals(Instant.MIN) && this.readAt.plus(lease.length()).isBefore(now);
		boolean same = !gap && this.seen.filter(lease::equals).isPresent();
		return new LeaseState(Optional.of(lease), changedVersion, same ? this.seenSince : now, this.attempt,
				this.heldUntil, this.nextAt, now, false);
	}

	LeaseState withAttempt(LeaseAttempt changed) {
		return new LeaseState(this.seen, this.version, this.seenSince, Optional.of(changed), this.heldUntil,
				this.nextAt, this.readAt, this.readFirst);
	}

	LeaseState withHeldUntil(Instant changed) {
		return new LeaseState(this.seen, this.version, this.seenSince, this.attempt, changed, this.nextAt, this.readAt,
				this.readFirst);
	}

	LeaseState withNextAt(Instant changed) {
		return new LeaseState(this.seen, this.version, this.seenSince, this.attempt, this.heldUntil, changed,
				this.readAt, this.readFirst);
	}

	LeaseState withReadFirst() {
		return new LeaseState(this.seen, this.version, this.seenSince, this.attempt, this.heldUntil, this.nextAt,
				this.readAt, true);
	}

	/**
	 * A write of the lease by this node.
	 *
	 * @param lease what was written
	 * @param sentAt own monotonic time from before it was sent
	 */
	public record LeaseAttempt(ControllerLease lease, Instant sentAt) {

	}

}
