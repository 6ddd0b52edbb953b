package sycamorehill.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what the transport does, for the metrics.
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
	 * Frames sent.
	 * @return the count
	 */
	public long sentFrames() {
		return this.sentFrames.sum();
	}

	/**
	 * Bytes sent, without those of TCP itself.
	 * @return the count
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Frames received with a right code.
	 * @return the count
	 */
	public long receivedFrames() {
		return this.receivedFrames.sum();
	}

	/**
	 * Bytes received in such frames.
	 * @return the count
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Messages passed over because this build does not know their type.
	 * @return the count
	 */
	public long unknownTypes() {
		return this.unknownTypes.sum();
	}

	/**
	 * Connections closed because of what came over them.
	 * @return the count
	 */
	public long refusedConnections() {
		return this.refusedConnections.sum();
	}

	/**
	 * Messages that could not be sent.
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
