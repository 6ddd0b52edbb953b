package sycamorehill.http;

import io.servicetalk.http.api.HeaderUtils;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.HttpResponseStatus;

/**
 * Checks how the end of an answer is recognized. A server that crashes ends its
 * connections too, so that a part of an answer without a length or chunks looks like the
 * whole.
 */
final class UnframedAnswers {

	private UnframedAnswers() {
	}

	/**
	 * Checks that more than the end of its connection ends an answer.
	 * @param response the head of the answer
	 * @param method the HTTP method of the request
	 * @throws UnframedAnswerException if the answer has neither a length nor chunks, and
	 * may have a body
	 */
	static void check(HttpResponseMetaData response, String method) {
		boolean framed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| HeaderUtils.isTransferEncodingChunked(response.headers());
		if (!framed && !hasNoBody(response.status(), method)) {
			throw UnframedAnswerException.ofStatus(response.status().code());
		}
	}

	private static boolean hasNoBody(HttpResponseStatus status, String method) {
		return method.equals(HttpRequestMethod.HEAD.name()) || status.code() == HttpResponseStatus.NO_CONTENT.code()
				|| status.code() == HttpResponseStatus.NOT_MODIFIED.code();
	}

}
