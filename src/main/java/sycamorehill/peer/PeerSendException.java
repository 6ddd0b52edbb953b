package sycamorehill.peer;

/**
 * A message could not be sent.
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
