package sycamorehill.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to the request that was sent on a connection.
 */
interface AnswerHandler {

	/**
	 * Handles the head of the answer.
	 * @param response the head of the answer
	 */
	void handleHead(HttpResponse response);

	/**
	 * Handles a part of the answer's body. The implementation must not keep the buffer.
	 * @param bytes the part of the body
	 */
	void handleBody(ByteBuf bytes);

	/**
	 * Returns whether the answer can't be relied on beside a second answer to the same
	 * request, which arrived with its end.
	 * @param second the head of the second answer
	 * @return whether the answer becomes an invalid one
	 */
	boolean isContradictedBy(HttpResponse second);

	/** Handles the end of a complete answer. */
	void handleEnd();

	/**
	 * Handles a connection that failed.
	 * @param cause the description of the failure
	 */
	void handleConnectionLost(String cause);

	/**
	 * Handles bytes that are no answer.
	 * @param cause the description of the failure
	 */
	void handleInvalidAnswer(String cause);

}
