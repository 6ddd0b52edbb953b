package sycamorehill.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Splits messages into datagrams that fit into one network packet. A fragmented datagram
 * is lost if any of its fragments is lost, and some networks drop all fragments.
 */
final class DatagramSplitter {

	/**
	 * Bytes of a message in one datagram; with all headers it fits into a frame of 1,500
	 * bytes.
	 */
	static final int MAXIMUM_PART_BYTES = 1350;

	/** Number of parts of one message; the receive buffer of a socket holds about 90. */
	static final int MAXIMUM_PARTS = 64;

	private DatagramSplitter() {
	}

	/**
	 * Splits a message.
	 * @param message the message
	 * @param number the number that distinguishes the messages of a sender
	 * @return the datagrams
	 */
	static List<byte[]> split(byte[] message, long number) {
		int parts = Math.max(1, (message.length + MAXIMUM_PART_BYTES - 1) / MAXIMUM_PART_BYTES);
		List<byte[]> datagrams = new ArrayList<>();
		for (int part = 0; part < parts; part++) {
			int begin = part * MAXIMUM_PART_BYTES;
			byte[] bytes = Arrays.copyOfRange(message, begin, Math.min(message.length, begin + MAXIMUM_PART_BYTES));
			datagrams.add(datagram(number, part, parts, bytes));
		}
		return datagrams;
	}

	private static byte[] datagram(long number, int part, int parts, byte[] bytes) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(number).packInt(part).packInt(parts).packBinaryHeader(bytes.length).writePayload(bytes);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to memory failed", ex);
		}
	}

}
