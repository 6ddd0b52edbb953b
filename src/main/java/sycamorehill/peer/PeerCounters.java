package sycamorehill.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts frames, bytes and failures of the transport for the metrics.
 */
public final class PeerCounters {

	private final LongAdder sentFrames = new LongAdder();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedFrames = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder unknownTypes = new LongAdder();

	private final LongAdder refusedConnections = new LongAdder();

	private final LongAdder failedSends = new LongAdder();

	private PeerCounters() {
	}

	static PeerCounters create() {
		return new PeerCounters();
	}

	/**
	 * Returns the number of frames sent.
	 * @return the count
	 */
	public long sentFrames() {
		return this.sentFrames.sum();
	}

	/**
	 * Returns the number of bytes sent, excluding TCP overhead.
	 * @return the count
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Returns the number of frames received with a valid authentication code.
	 * @return the count
	 */
	public long receivedFrames() {
		return this.receivedFrames.sum();
	}

	/**
	 * Returns the number of bytes received in frames with a valid authentication code.
	 * @return the count
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Returns the number of messages ignored because this build does not know their type.
	 * @return the count
	 */
	public long unknownTypes() {
		return this.unknownTypes.sum();
	}

	/**
	 * Returns the number of connections closed because of invalid input, missing
	 * authentication or too many unauthenticated connections.
	 * @return the count
	 */
	public long refusedConnections() {
		return this.refusedConnections.sum();
	}

	/**
	 * Returns the number of messages that could not be sent.
	 * @return the count
	 */
	public long failedSends() {
		return this.failedSends.sum();
	}

	void recordSentFrame(int bytes) {
		this.sentFrames.increment();
		this.sentBytes.add(bytes);
	}

	void recordReceivedFrame(int bytes) {
		this.receivedFrames.increment();
		this.receivedBytes.add(bytes);
	}

	void recordUnknownType() {
		this.unknownTypes.increment();
	}

	void recordRefusedConnection() {
		this.refusedConnections.increment();
	}

	void recordFailedSend() {
		this.failedSends.increment();
	}

}
