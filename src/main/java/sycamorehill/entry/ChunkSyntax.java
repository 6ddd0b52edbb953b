package sycamorehill.entry;

import io.netty.buffer.ByteBuf;

import sycamorehill.http.FieldCharacters;

/**
 * Syntax of a body in chunks (RFC 9112, section 7.1), without its trailers. The data of
 * chunks is skipped.
 */
final class ChunkSyntax {

	private static final int HEXADECIMAL = 16;

	/** Maximum number of digits of a size, so that it is within 64 bits. */
	private static final int MAXIMUM_SIZE_DIGITS = 15;

	private Position position = Position.SIZE;

	private int digits;

	private long size;

	private ChunkSyntax() {
	}

	static ChunkSyntax create() {
		return new ChunkSyntax();
	}

	void begin() {
		this.position = Position.SIZE;
		this.digits = 0;
		this.size = 0;
	}

	/**
	 * Returns whether the last chunk has been read. Trailers follow.
	 * @return whether it has
	 */
	boolean isComplete() {
		return this.position == Position.COMPLETE;
	}

	/**
	 * Reads bytes until the last chunk; throws a {@link MalformedMessageException} if one
	 * can't stand there.
	 * @param bytes contains the bytes
	 * @param from index of the first byte
	 * @return index behind the last byte that has been read
	 */
	int read(ByteBuf bytes, int from) {
		int index = from;
		while (index < bytes.writerIndex() && !isComplete()) {
			if (this.position == Position.DATA) {
				int skipped = (int) Math.min(this.size, bytes.writerIndex() - index);
				this.size -= skipped;
				index += skipped;
				this.position = (this.size == 0) ? Position.DATA_END : Position.DATA;
			}
			else {
				this.position = next(bytes.getByte(index));
				index++;
			}
		}
		return index;
	}

	private Position next(byte value) {
		return switch (this.position) {
			case SIZE -> behindSize(value);
			case EXTENSION -> behindExtension(value);
			case SIZE_LINE_FEED -> {
				require(value == '\n', "a carriage return without a line feed");
				yield behindSizeLine();
			}
			case DATA_END -> {
				require(value == '\r' || value == '\n', "a chunk that is longer than its size");
				yield (value == '\r') ? Position.DATA_LINE_FEED : beginChunk();
			}
			case DATA_LINE_FEED -> {
				require(value == '\n', "a chunk that is longer than its size");
				yield beginChunk();
			}
			case DATA, COMPLETE -> throw new IllegalStateException("no byte of a chunk's lines is due");
		};
	}

	private Position behindSize(byte value) {
		int digit = Character.digit(value, HEXADECIMAL);
		if (digit >= 0) {
			this.digits++;
			require(this.digits <= MAXIMUM_SIZE_DIGITS, "a chunk size of too many digits");
			this.size = this.size * HEXADECIMAL + digit;
			return Position.SIZE;
		}
		require(this.digits > 0, "a chunk without a size");
		require(value == ';' || value == ' ' || value == '\t' || value == '\r' || value == '\n',
				"a chunk size with another character than a digit");
		return behindExtension(value);
	}

	private Position behindExtension(byte value) {
		if (value == '\r') {
			return Position.SIZE_LINE_FEED;
		}
		if (value == '\n') {
			return behindSizeLine();
		}
		require(FieldCharacters.isText(value), "a chunk extension with a control character");
		return Position.EXTENSION;
	}

	private Position behindSizeLine() {
		return (this.size == 0) ? Position.COMPLETE : Position.DATA;
	}

	private Position beginChunk() {
		begin();
		return Position.SIZE;
	}

	private static void require(boolean condition, String fault) {
		if (!condition) {
			throw new MalformedMessageException(fault);
		}
	}

	/** Where the next byte stands. */
	private enum Position {

		SIZE, EXTENSION, SIZE_LINE_FEED, DATA, DATA_END, DATA_LINE_FEED, COMPLETE

	}

}
