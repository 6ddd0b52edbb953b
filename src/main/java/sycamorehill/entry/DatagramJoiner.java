package sycamorehill.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Puts messages together from the datagrams of {@link DatagramParts}.
 */
final class DatagramJoiner {

	/** Parts of one message are sent together; after this time one was lost. */
	private static final Duration AWAITED = Duration.ofSeconds(2);

	/** Incomplete messages that are kept; the oldest goes first. */
	private static final int MOST_INCOMPLETE = 100;

	private final Map<Key, Incomplete> incomplete = new LinkedHashMap<>();

	private DatagramJoiner() {
	}

	static DatagramJoiner create() {
		return new DatagramJoiner();
	}

	/**
	 * Takes a datagram.
	 * @param sender where it came from
	 * @param datagram its bytes
	 * @param nowNanos the present time
	 * @return the message that it completes; empty if parts are missing
	 * @throws IOException if it is no part of a message
	 */
	Optional<byte[]> add(InetSocketAddress sender, byte[] datagram, long nowNanos) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(datagram)) {
			long number = unpacker.unpackLong();
			int part = unpacker.unpackInt();
			int parts = unpacker.unpackInt();
			byte[] bytes = unpacker.readPayload(unpacker.unpackBinaryHeader());
			if (part < 0 || part >= parts || parts > DatagramParts.MOST_PARTS) {
				throw new IOException("part " + part + " of " + parts);
			}
			return (parts == 1) ? Optional.of(bytes) : add(new Key(sender, number), part, parts, bytes, nowNanos);
		}
		catch (MessagePackException ex) {
			throw new IOException("not a part of a message", ex);
		}
	}

	private Optional<byte[]> add(Key key, int part, int parts, byte[] bytes, long nowNanos) throws IOException {
		this.incomplete.values().removeIf((each) -> nowNanos - each.sinceNanos > AWAITED.toNanos());
		Incomplete message = this.incomplete.computeIfAbsent(key, (absent) -> new Incomplete(parts, nowNanos));
		if (message.parts.size() != parts) {
			throw new IOException("a message of " + message.parts.size() + " and of " + parts + " parts");
		}
		if (message.take(part, bytes)) {
			this.incomplete.remove(key);
			return Optional.of(message.join());
		}
		if (this.incomplete.size() > MOST_INCOMPLETE) {
			this.incomplete.remove(this.incomplete.keySet().iterator().next());
		}
		return Optional.empty();
	}

	int incomplete() {
		return this.incomplete.size();
	}

	/**
	 * Identifies a message.
	 *
	 * @param sender where it comes from
	 * @param number the sender's number of it
	 */
	private record Key(InetSocketAddress sender, long number) {
	}

	/**
	 * A message of which parts are missing.
	 */
	private static final class Incomplete {

		private final List<Optional<byte[]>> parts = new ArrayList<>();

		private final long sinceNanos;

		private int missing;

		Incomplete(int number, long sinceNanos) {
			this.sinceNanos = sinceNanos;
			this.missing = number;
			for (int part = 0; part < number; part++) {
				this.parts.add(Optional.empty());
			}
		}

		boolean take(int part, byte[] bytes) {
			if (this.parts.set(part, Optional.of(bytes)).isEmpty()) {
				this.missing--;
			}
			return this.missing == 0;
		}

		byte[] join() {
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			this.parts.forEach((part) -> whole.writeBytes(part.orElseThrow()));
			return whole.toByteArray();
		}

	}

}
