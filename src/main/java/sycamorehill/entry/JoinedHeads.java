package sycamorehill.entry;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes a head that was put together from two: of an answer that stopped within its
 * head, and of the one behind it. It would have the status of the first, and the
 * identifier, signature and length of the second.
 */
final class JoinedHeads {

	private static final String VERSION = "HTTP/1.";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}(?: |$)");

	private JoinedHeads() {
	}

	/**
	 * Returns whether a head contains the start of another one.
	 * @param response the head
	 * @return whether it does
	 */
	static boolean isJoined(HttpResponse response) {
		return containsStatusLine(response.status().reasonPhrase())
				|| response.headers().entries().stream().anyMatch((header) -> containsStatusLine(header.getValue()));
	}

	private static boolean containsStatusLine(String text) {
		return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
	}

}
