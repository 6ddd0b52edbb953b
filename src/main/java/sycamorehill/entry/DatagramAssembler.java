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
 * Assembles messages from the datagrams of a {@link DatagramSplitter}.
 */
final class DatagramAssembler {

	/**
	 * Time to wait for the parts of a message. They are sent together, so a part that is
	 * missing after this time was lost.
	 */
	private static final Duration ASSEMBLY_TIMEOUT = Duration.ofSeconds(2);

	/** Number of incomplete messages that are kept; the oldest is discarded first. */
	private static final int MAXIMUM_INCOMPLETE_MESSAGES = 100;

	private final Map<MessageKey, IncompleteMessage> incompleteMessages = new LinkedHashMap<>();

	private DatagramAssembler() {
	}

	static DatagramAssembler create() {
		return new DatagramAssembler();
	}

	/**
	 * Adds a datagram.
	 * @param sender the address that sent it
	 * @param datagram the bytes of the datagram
	 * @param nowNanos the current time, in nanoseconds
	 * @return the message that the datagram completes; empty if parts are missing
	 * @throws IOException if the datagram is not a part of a message
	 */
	Optional<byte[]> add(InetSocketAddress sender, byte[] datagram, long nowNanos) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(datagram)) {
			long number = unpacker.unpackLong();
			int part = unpacker.unpackInt();
			int parts = unpacker.unpackInt();
			int length = unpacker.unpackBinaryHeader();
			if (length > datagram.length) {
				throw new IOException("a part of " + length + " bytes in a datagram of " + datagram.length);
			}
			byte[] bytes = unpacker.readPayload(length);
			if (part < 0 || part >= parts || parts > DatagramSplitter.MAXIMUM_PARTS) {
				throw new IOException("part " + part + " of " + parts);
			}
			return (parts == 1) ? Optional.of(bytes)
					: add(new MessageKey(sender, number), part, parts, bytes, nowNanos);
		}
		catch (MessagePackException ex) {
			throw new IOException("not a part of a message", ex);
		}
	}

	private Optional<byte[]> add(MessageKey key, int part, int parts, byte[] bytes, long nowNanos) throws IOException {
		this.incompleteMessages.values().removeIf((each) -> nowNanos - each.sinceNanos > ASSEMBLY_TIMEOUT.toNanos());
		IncompleteMessage message = this.incompleteMessages.computeIfAbsent(key,
				(absent) -> new IncompleteMessage(parts, nowNanos));
		if (message.parts.size() != parts) {
			throw new IOException("a message of " + message.parts.size() + " and of " + parts + " parts");
		}
		if (message.addPart(part, bytes)) {
			this.incompleteMessages.remove(key);
			return Optional.of(message.join());
		}
		if (this.incompleteMessages.size() > MAXIMUM_INCOMPLETE_MESSAGES) {
			this.incompleteMessages.remove(this.incompleteMessages.keySet().iterator().next());
		}
		return Optional.empty();
	}

	int incompleteCount() {
		return this.incompleteMessages.size();
	}

	/**
	 * Identifies a message.
	 *
	 * @param sender the address of the sender
	 * @param number the number that the sender gave the message
	 */
	private record MessageKey(InetSocketAddress sender, long number) {
	}

	/**
	 * Message of which some parts have not arrived.
	 */
	private static final class IncompleteMessage {

		private final List<Optional<byte[]>> parts = new ArrayList<>();

		private final long sinceNanos;

		private int missingParts;

		IncompleteMessage(int number, long sinceNanos) {
			this.sinceNanos = sinceNanos;
			this.missingParts = number;
			for (int part = 0; part < number; part++) {
				this.parts.add(Optional.empty());
			}
		}

		boolean addPart(int part, byte[] bytes) {
			if (this.parts.set(part, Optional.of(bytes)).isEmpty()) {
				this.missingParts--;
			}
			return this.missingParts == 0;
		}

		byte[] join() {
			ByteArrayOutputStream message = new ByteArrayOutputStream();
			this.parts.forEach((part) -> message.writeBytes(part.orElseThrow()));
			return message.toByteArray();
		}

	}

}
