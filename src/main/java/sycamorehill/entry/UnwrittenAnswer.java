package sycamorehill.entry;

import java.time.Duration;

import io.netty.handler.codec.http.HttpContent;

/**
 * Answer that is not written to its socket completely. A request has one from the moment
 * at which it has been read.
 */
final class UnwrittenAnswer {

	private final long arrivedNanos;

	private String identifier = "unknown";

	private int parts;

	private long bytes;

	private UnwrittenAnswer(long arrivedNanos) {
		this.arrivedNanos = arrivedNanos;
	}

	/**
	 * Creates the answer to a request.
	 * @param arrivedNanos time at which the request began to arrive
	 * @return the answer
	 */
	static UnwrittenAnswer of(long arrivedNanos) {
		return new UnwrittenAnswer(arrivedNanos);
	}

	/**
	 * Sets the identifier of the request.
	 * @param requestIdentifier the identifier
	 */
	void identify(String requestIdentifier) {
		this.identifier = requestIdentifier;
	}

	String identifier() {
		return this.identifier;
	}

	/**
	 * Counts a part of the answer that is handed to the socket.
	 * @param message the part
	 */
	void countPart(Object message) {
		if (message instanceof HttpContent content && content.content().isReadable()) {
			this.parts++;
			this.bytes += content.content().readableBytes();
		}
	}

	/**
	 * Describes the answer in a log line.
	 * @param cause why the connection is closed
	 * @return the details of the line
	 */
	String describeCut(CutCause cause) {
		Duration age = Duration.ofNanos(System.nanoTime() - this.arrivedNanos);
		return "request=" + this.identifier + " cause=" + cause + " parts=" + this.parts + " bytes=" + this.bytes
				+ " age-millis=" + age.toMillis();
	}

}
