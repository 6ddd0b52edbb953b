package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.ControllerLease;

/**
 * Holds what this node knows about the lease of the controller.
 *
 * @param seen the lease as last read or written, empty if there is none
 * @param version the version of the stored object, 0 if there is none
 * @param seenSince the node's monotonic time at which this renewal was first read or
 * written
 * @param attempt this node's last write, pending or successful
 * @param heldUntil the node's monotonic time until which it holds the lease
 * @param nextAt the time of the next call
 * @param readAt the node's monotonic time of the last successful read or write of the
 * lease
 * @param readFirst whether this node may have missed a write and has to read the lease
 * before it writes again
 */
public record LeaseState(Optional<ControllerLease> seen, long version, Instant seenSince,
		Optional<LeaseAttempt> attempt, Instant heldUntil, Instant nextAt, Instant readAt, boolean readFirst) {

	/**
	 * Creates the state of a node that has not read the lease yet.
	 * @return the state before the first event
	 */
	public static LeaseState initial() {
		return new LeaseState(Optional.empty(), 0, Instant.MIN, Optional.empty(), Instant.MIN, Instant.MIN, Instant.MIN,
				true);
	}

	/**
	 * Returns whether this node holds the lease.
	 * @param now the current monotonic time of this node
	 * @return whether this node is the controller
	 */
	public boolean isHeld(Instant now) {
		return now.isBefore(this.heldUntil);
	}

	/**
	 * Returns the fencing number of the lease as last read or written.
	 * @return the number, 0 if there was none
	 */
	public long fencingNumber() {
		return this.seen.map(ControllerLease::fencingNumber).orElse(0L);
	}

	// While the platform does not answer nobody can renew the lease. When it answers
	// again, another node must not take the lease as expired before the holder can renew
	// it, because this would undo what the holder did meanwhile. So the waiting time
	// starts again if this node could not read the lease for longer than its length.
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
	 * Records a write of the lease by this node.
	 *
	 * @param lease the lease that was written
	 * @param sentAt the node's monotonic time just before the write was sent
	 */
	public record LeaseAttempt(ControllerLease lease, Instant sentAt) {

	}

}
