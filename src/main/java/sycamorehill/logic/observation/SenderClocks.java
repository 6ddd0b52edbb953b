package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIncarnation;

/**
 * Tracks the offsets between the monotonic clocks of other nodes and that of this node,
 * to estimate how long a message was in transit.
 *
 * @param offsets the smallest difference for each sender, in milliseconds, between the
 * time of this node when it received a message and the time of the sender when it sent
 * the message
 */
public record SenderClocks(PMap<NodeIncarnation, Offset> offsets) {

	private static final Duration OFFSET_RETENTION = Duration.ofMinutes(10);

	/**
	 * Returns the offsets before any message was received.
	 * @return no offsets
	 */
	public static SenderClocks empty() {
		return new SenderClocks(HashTreePMap.empty());
	}

	/**
	 * Records the offset of a received message.
	 * @param sender the sender
	 * @param now the monotonic time of this node
	 * @param sentAt the monotonic time of the sender in milliseconds
	 * @return the updated offsets
	 */
	public SenderClocks withMessage(NodeIncarnation sender, Instant now, long sentAt) {
		long offset = now.toEpochMilli() - sentAt;
		Offset previous = this.offsets.get(sender);
		boolean replace = previous == null || offset <= previous.smallest
				|| previous.since.plus(OFFSET_RETENTION).isBefore(now);
		return replace ? new SenderClocks(this.offsets.plus(sender, new Offset(offset, now))) : this;
	}

	/**
	 * Returns the transit delay of a message in excess of the fastest message from its
	 * sender. A message can wait for seconds in a congested connection. Without this
	 * correction its observations would be taken for recent, and requests would be routed
	 * to a group that has lost a member.
	 * @param sender the sender
	 * @param now the monotonic time of this node
	 * @param sentAt the monotonic time of the sender in milliseconds
	 * @return the delay in milliseconds
	 */
	public long delay(NodeIncarnation sender, Instant now, long sentAt) {
		Offset known = this.offsets.get(sender);
		return (known != null) ? Math.max(0, now.toEpochMilli() - sentAt - known.smallest) : 0;
	}

	/**
	 * The smallest offset of a sender.
	 *
	 * @param smallest the offset in milliseconds
	 * @param since the monotonic time of this node when it recorded the offset
	 */
	public record Offset(long smallest, Instant since) {

	}

}
