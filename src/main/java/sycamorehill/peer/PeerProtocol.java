package sycamorehill.peer;

import java.time.Duration;

/**
 * Defines the constants of the protocol between nodes.
 */
final class PeerProtocol {

	/** Protocol version of this build. */
	static final int VERSION = 1;

	/** Lowest protocol version that this build accepts. */
	static final int MINIMUM_VERSION = 1;

	/** Bounds a frame on an authenticated connection. */
	static final int MAXIMUM_FRAME_BYTES = 1024 * 1024;

	/**
	 * Bounds a frame on a connection that is not authenticated yet. Such a connection
	 * must not be able to make this node buffer a megabyte.
	 */
	static final int MAXIMUM_UNAUTHENTICATED_FRAME_BYTES = 4096;

	/** Size of the length field in front of each frame. */
	static final int LENGTH_BYTES = 4;

	/** Size of the random challenge that the accepting node sends first. */
	static final int NONCE_BYTES = 16;

	/** Bounds the accepted connections that are not authenticated yet. */
	static final int MAXIMUM_UNAUTHENTICATED_CONNECTIONS = 128;

	/** Bounds the time until a new connection is authenticated. */
	static final Duration AUTHENTICATION_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Delay after which the accepting node acknowledges received messages; all messages
	 * read in the meantime share one acknowledgement.
	 */
	static final Duration ACKNOWLEDGE_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Time without an acknowledgement after which the sender closes the connection. If
	 * the network drops all packets, the writer sees no error for minutes, and once the
	 * network works again, TCP still waits for its own long backoff. Messages would be
	 * lost until then.
	 */
	static final Duration ACKNOWLEDGE_TIMEOUT = Duration.ofSeconds(6);

	private PeerProtocol() {
	}

}
