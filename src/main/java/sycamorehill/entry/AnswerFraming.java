package sycamorehill.entry;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Tells how the end of an answer is recognized.
 */
final class AnswerFraming {

	private AnswerFraming() {
	}

	/**
	 * Returns whether only the end of its connection ends an answer. A server that
	 * crashes ends its connections too, so that a part of such an answer looks like the
	 * whole.
	 * @param head the head of the answer
	 * @return false if the answer has a length or chunks, or no body by its status
	 */
	static boolean endsWithConnection(HttpResponse head) {
		return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)
				&& !hasNoBody(head.status());
	}

	private static boolean hasNoBody(HttpResponseStatus status) {
		return status.codeClass() == HttpStatusClass.INFORMATIONAL || status.equals(HttpResponseStatus.NO_CONTENT)
				|| status.equals(HttpResponseStatus.NOT_MODIFIED);
	}

}
