package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A node that has been heard itself.
 *
 * @param identity who and where it is
 * @param former number of the incarnation before it that this node has heard, 0 for none
 * @param stopping whether it takes no new duties
 * @param ticketNumber the last ticket that it had in force
 * @param viewHash of the live nodes that it knew
 * @param heardAt own monotonic time of its last heartbeat
 * @param interval when it meant to send the next one
 */
record DirectContact(NodeIdentity identity, long former, boolean stopping, long ticketNumber, long viewHash,
		Instant heardAt, Duration interval) {

	/**
	 * Whether the node has been silent for too long.
	 * @param now own monotonic time
	 * @param missedHeartbeats so many missed heartbeats are too many
	 * @return whether it is to be taken for dead
	 */
	boolean isSilent(Instant now, int missedHeartbeats) {
		Duration timeout = this.interval.multipliedBy(missedHeartbeats).plus(this.interval.dividedBy(2));
		return this.heardAt.plus(timeout).isBefore(now);
	}

}
