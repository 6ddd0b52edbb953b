package sycamorehill.peer;

import java.time.Duration;

/**
 * Numbers that both ends of a connection agree on.
 */
final class PeerProtocol {

	/** The version that this build speaks. */
	static final int VERSION = 1;

	/** The oldest version that this build still understands. */
	static final int MINIMUM_VERSION = 1;

	/** The largest frame of a node that has proven that it knows the secret. */
	static final int MAXIMUM_FRAME_BYTES = 1024 * 1024;

	/**
	 * The largest frame of a stranger: connections that never prove anything must not
	 * make this node hold a megabyte each.
	 */
	static final int MAXIMUM_UNAUTHENTICATED_FRAME_BYTES = 4096;

	/** Bytes of the length in front of each frame. */
	static final int LENGTH_BYTES = 4;

	/** Bytes of the random challenge that the accepting node sends first. */
	static final int NONCE_BYTES = 16;

	/** Accepted connections that have not proven anything yet. */
	static final int MAXIMUM_UNAUTHENTICATED_CONNECTIONS = 128;

	/** How long a stranger may take to prove itself. */
	static final Duration AUTHENTICATION_TIMEOUT = Duration.ofSeconds(5);

	/** How often the accepting node says how many frames it has read. */
	static final Duration ACKNOWLEDGE_INTERVAL = Duration.ofSeconds(2);

	/**
	 * After this time without an acknowledgement the sender gives the connection up. A
	 * network that drops everything gives no error to the writer for minutes, and after
	 * it heals TCP waits for its own long backoff: messages would vanish meanwhile.
	 */
	static final Duration ACKNOWLEDGE_TIMEOUT = Duration.ofSeconds(6);

	private PeerProtocol() {
	}

}
