package sycamorehill.peer;

/**
 * Thrown when a message could not be sent to another node.
 */
public final class PeerSendException extends Exception {

	private static final long serialVersionUID = 1L;

	private PeerSendException(String message) {
		super(message);
	}

	static PeerSendException of(String message) {
		return new PeerSendException(message);
	}

}
