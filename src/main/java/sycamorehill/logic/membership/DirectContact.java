package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.model.identity.NodeIdentity;

/**
 * A node from which this node has received heartbeats itself.
 *
 * @param identity the identity of the node
 * @param former the number of the incarnation that this one replaced at this node, 0 if
 * there was none
 * @param stopping whether the node is stopping, so that it takes on no new duties
 * @param ticketNumber the last ticket that the node had applied
 * @param viewHash the hash of the live nodes that the node knew
 * @param heardAt the monotonic time of this node at the last heartbeat
 * @param interval the announced time from the last heartbeat to the next
 */
record DirectContact(NodeIdentity identity, long former, boolean stopping, long ticketNumber, long viewHash,
		Instant heardAt, Duration interval) {

	/**
	 * Tells whether the heartbeats of the node have been missing for too long.
	 * @param now the monotonic time of this node
	 * @param missedHeartbeats the number of missed heartbeats after which a node is
	 * considered dead
	 * @return whether the node is considered dead
	 */
	boolean isSilent(Instant now, int missedHeartbeats) {
		Duration timeout = this.interval.multipliedBy(missedHeartbeats).plus(this.interval.dividedBy(2));
		return this.heardAt.plus(timeout).isBefore(now);
	}

}
