package sycamorehill.entry;

import io.netty.handler.codec.DecoderException;

/**
 * Tells that bytes are no HTTP/1.1 message.
 */
final class MalformedMessageException extends DecoderException {

	private static final long serialVersionUID = 1L;

	MalformedMessageException(String message) {
		super(message);
	}

}
