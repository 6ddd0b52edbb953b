package sycamorehill.entry;

/**
 * Counts the bytes of one answer. A target may send any number of bytes that bring
 * nothing: control characters and interim answers before the head, and chunks of which
 * each takes more bytes and time to decode than it contains. The decoder limits only
 * single lines and headers.
 */
final class AnswerBytes {

	/**
	 * Maximum number of bytes before the head of the answer is complete: room for a head
	 * of the largest size, some interim answers and a late answer to an earlier request.
	 */
	static final int MAXIMUM_BEFORE_HEAD = 256 * 1024;

	/**
	 * Maximum number of bytes in a body besides as many as it contains: room for the
	 * chunks of a short stream, whatever their size, and for trailers.
	 */
	static final int MAXIMUM_FRAMING = 32 * 1024;

	private long beforeHead;

	private long received;

	private long contained;

	private boolean headComplete;

	private AnswerBytes() {
	}

	static AnswerBytes create() {
		return new AnswerBytes();
	}

	/**
	 * Counts bytes that have arrived.
	 * @param bytes the number of bytes
	 */
	void addReceived(int bytes) {
		if (this.headComplete) {
			this.received += bytes;
		}
		else {
			this.beforeHead += bytes;
		}
	}

	/** Ends the count before the head. */
	void completeHead() {
		this.headComplete = true;
	}

	/**
	 * Counts bytes of the body.
	 * @param bytes the number of bytes
	 */
	void addContained(int bytes) {
		this.contained += bytes;
	}

	boolean exceedsHeadLimit() {
		return this.beforeHead > MAXIMUM_BEFORE_HEAD;
	}

	boolean exceedsFramingLimit() {
		return this.received > 2 * this.contained + MAXIMUM_FRAMING;
	}

}
