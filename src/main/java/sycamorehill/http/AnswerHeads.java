package sycamorehill.http;

import java.util.Map;

import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Checks heads of answers. The decoder of the library takes numbers of three digits for a
 * status and control characters for parts of a value.
 */
public final class AnswerHeads {

	private static final int MINIMUM_STATUS = 100;

	private static final int MAXIMUM_STATUS = 599;

	private AnswerHeads() {
	}

	/**
	 * Checks that an answer can be relied on: its head is well formed, and more than the
	 * end of its connection ends it.
	 * @param response the head of the answer
	 * @param method the HTTP method of the request
	 * @throws MalformedAnswerException if it is no head
	 * @throws UnframedAnswerException if the answer has neither a length nor chunks, and
	 * may have a body
	 */
	public static void check(HttpResponseMetaData response, String method) {
		if (!isStatus(response.status().code())) {
			throw MalformedAnswerException.ofStatus(response.status().code());
		}
		for (Map.Entry<CharSequence, CharSequence> field : response.headers()) {
			if (!FieldCharacters.isName(field.getKey().toString())
					|| !FieldCharacters.isValue(field.getValue().toString())) {
				throw MalformedAnswerException.ofField(field.getKey().toString());
			}
		}
		UnframedAnswers.check(response, method);
	}

	/**
	 * Returns whether a number is the status of an answer.
	 * @param number the number
	 * @return whether it is one of the five classes
	 */
	public static boolean isStatus(int number) {
		return number >= MINIMUM_STATUS && number <= MAXIMUM_STATUS;
	}

}
