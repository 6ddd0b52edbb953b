package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Splits an event stream into complete events and reads their numbers. An engine that
 * crashes may stop within an event. The partial event is never forwarded, so that another
 * engine can resume after the last complete one.
 */
final class EventSplitter {

	/** Maximum size of an event in bytes; a larger one ends the stream. */
	private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

	private static final byte[] NUMBER_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final int MAXIMUM_NUMBER_DIGITS = 18;

	private final ByteBuf pending;

	/** Bytes of whole lines of the first pending event. */
	private int wholeLinesBytes;

	/** Bytes of the first pending event in which no further end of a line is. */
	private int searchedBytes;

	private EventSplitter(ByteBuf pending) {
		this.pending = pending;
	}

	static EventSplitter create(ByteBufAllocator allocator) {
		return new EventSplitter(allocator.buffer(512));
	}

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @param sink receives each complete event, with the blank line that ends it, and its
	 * number
	 */
	void append(ByteBuf bytes, BiConsumer<ByteBuf, OptionalLong> sink) {
		this.pending.writeBytes(bytes);
		int end = endOfEvent();
		while (end > 0) {
			ByteBuf event = this.pending.readBytes(end - this.pending.readerIndex());
			this.wholeLinesBytes = 0;
			this.searchedBytes = 0;
			sink.accept(event, eventNumber(event));
			end = endOfEvent();
		}
		if (this.pending.readableBytes() > MAXIMUM_EVENT_BYTES) {
			throw new IllegalStateException("an event is longer than " + MAXIMUM_EVENT_BYTES + " bytes");
		}
		this.pending.discardSomeReadBytes();
	}

	int pendingBytes() {
		return this.pending.readableBytes();
	}

	boolean hasPartialEvent() {
		return this.pending.isReadable();
	}

	void release() {
		this.pending.release();
	}

	// Returns the index after the blank line that ends the first event, or -1. No byte is
	// searched twice, however many pieces a line arrives in.
	private int endOfEvent() {
		int begin = this.pending.readerIndex();
		int lineStart = begin + this.wholeLinesBytes;
		int lineEnd = endOfLine(this.pending, begin + this.searchedBytes);
		while (lineEnd >= 0) {
			int length = lineEnd - lineStart;
			boolean blank = length == 0 || (length == 1 && this.pending.getByte(lineStart) == '\r');
			if (blank) {
				return lineEnd + 1;
			}
			lineStart = lineEnd + 1;
			lineEnd = endOfLine(this.pending, lineStart);
		}
		this.wholeLinesBytes = lineStart - begin;
		this.searchedBytes = this.pending.readableBytes();
		return -1;
	}

	private static OptionalLong eventNumber(ByteBuf event) {
		int lineStart = event.readerIndex();
		int lineEnd = endOfLine(event, lineStart);
		while (lineEnd >= 0) {
			if (startsWithNumberField(event, lineStart, lineEnd)) {
				return parseNumber(event, lineStart + NUMBER_FIELD.length, lineEnd);
			}
			lineStart = lineEnd + 1;
			lineEnd = endOfLine(event, lineStart);
		}
		return OptionalLong.empty();
	}

	// Searches several bytes at a time, because this runs for every byte of every answer.
	private static int endOfLine(ByteBuf bytes, int from) {
		return bytes.indexOf(from, bytes.writerIndex(), (byte) '\n');
	}

	private static boolean startsWithNumberField(ByteBuf event, int start, int end) {
		if (end - start < NUMBER_FIELD.length) {
			return false;
		}
		for (int index = 0; index < NUMBER_FIELD.length; index++) {
			if (event.getByte(start + index) != NUMBER_FIELD[index]) {
				return false;
			}
		}
		return true;
	}

	private static OptionalLong parseNumber(ByteBuf event, int start, int end) {
		String text = event.toString(start, end - start, StandardCharsets.US_ASCII).trim();
		boolean number = !text.isEmpty() && text.length() <= MAXIMUM_NUMBER_DIGITS
				&& text.chars().allMatch(Character::isDigit);
		return number ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
	}

}
