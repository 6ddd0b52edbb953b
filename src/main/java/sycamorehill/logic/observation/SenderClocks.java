package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIncarnation;

/**
 * How far the senders' monotonic clocks are from the own one, so that the time that a
 * message was under way shows.
 *
 * @param offsets for each sender the smallest difference between the own time at which a
 * message came and the sender's time at which it was sent, in milliseconds
 */
public record SenderClocks(PMap<NodeIncarnation, Offset> offsets) {

	private static final Duration OFFSET_RETENTION = Duration.ofMinutes(10);

	/**
	 * No sender known yet.
	 * @return the empty value
	 */
	public static SenderClocks empty() {
		return new SenderClocks(HashTreePMap.empty());
	}

	/**
	 * Takes a message in.
	 * @param sender the sender
	 * @param now own monotonic time
	 * @param sentAt the sender's monotonic time in milliseconds
	 * @return what is known now
	 */
	public SenderClocks withMessage(NodeIncarnation sender, Instant now, long sentAt) {
		long offset = now.toEpochMilli() - sentAt;
		Offset previous = this.offsets.get(sender);
		boolean replace = previous == null || offset <= previous.smallest
				|| previous.since.plus(OFFSET_RETENTION).isBefore(now);
		return replace ? new SenderClocks(this.offsets.plus(sender, new Offset(offset, now))) : this;
	}

	/**
	 * How long a message was under way, beyond the quickest one of its sender. Failure: a
	 * message waits for seconds in a full connection, and the sights that it carries are
	 * taken for as fresh as when it was sent; it shows as work routed to a group whose
	 * member is long gone.
	 * @param sender the sender
	 * @param now own monotonic time
	 * @param sentAt the sender's monotonic time in milliseconds
	 * @return the delay in milliseconds
	 */
	public long delay(NodeIncarnation sender, Instant now, long sentAt) {
		Offset known = this.offsets.get(sender);
		return (known != null) ? Math.max(0, now.toEpochMilli() - sentAt - known.smallest) : 0;
	}

	/**
	 * The smallest difference seen.
	 *
	 * @param smallest the difference in milliseconds
	 * @param since own monotonic time at which it was seen
	 */
	public record Offset(long smallest, Instant since) {

	}

}
