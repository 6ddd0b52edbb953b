package sycamorehill.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes the answer to the request on a connection.
 */
interface AnswerHandler {

	/**
	 * Takes the answer's head.
	 * @param response the head
	 */
	void handleHead(HttpResponse response);

	/**
	 * Takes bytes of the answer's body; the reader does not keep them.
	 * @param bytes the bytes
	 */
	void handleBody(ByteBuf bytes);

	/** Hears that the answer is whole. */
	void handleEnd();

	/**
	 * Hears that the connection broke, or carried something that is no answer.
	 * @param cause what was seen
	 */
	void handleFailure(String cause);

}
