package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Recognizes a second answer to a request within the body of the first. A target that
 * breaks off an answer, keeps the connection and answers again completes the length, the
 * chunk or the event of the first with the head of the second.
 */
final class JoinedAnswers {

	private static final byte FIRST_BYTE = 'H';

	private static final byte SECOND_BYTE = 'T';

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}[ \\r]");

	/** Number of bytes in which the identifier follows the status line. */
	private static final int MAXIMUM_HEAD_BYTES = 8 * 1024;

	private static final int MINIMUM_HEAD_BYTES = "HTTP/1.1 200 ".length();

	private JoinedAnswers() {
	}

	/**
	 * Returns whether a part of a body contains the head of an answer to the same
	 * request.
	 * @param content the part
	 * @param identifier identifier of the request
	 * @return false if it has no status line with the identifier behind it
	 */
	static boolean containsAnswer(ByteBuf content, String identifier) {
		if (identifier.isEmpty()) {
			return false;
		}
		int identifierAt = -1;
		int start = content.indexOf(content.readerIndex(), content.writerIndex(), FIRST_BYTE);
		while (start >= 0 && content.writerIndex() - start >= MINIMUM_HEAD_BYTES) {
			if (startsStatusLine(content, start)) {
				identifierAt = (identifierAt < start) ? find(identifier, content, start) : identifierAt;
				if (identifierAt < 0) {
					return false;
				}
				if (identifierAt + identifier.length() <= start + MAXIMUM_HEAD_BYTES) {
					return true;
				}
			}
			start = content.indexOf(start + 1, content.writerIndex(), FIRST_BYTE);
		}
		return false;
	}

	private static boolean startsStatusLine(ByteBuf content, int start) {
		return content.getByte(start + 1) == SECOND_BYTE
				&& STATUS_LINE.matcher(content.toString(start, MINIMUM_HEAD_BYTES, StandardCharsets.ISO_8859_1))
					.lookingAt();
	}

	// Each part of the content is searched once, however many status lines it has.
	private static int find(String identifier, ByteBuf content, int from) {
		ByteBuf sought = Unpooled.copiedBuffer(identifier, StandardCharsets.ISO_8859_1);
		int found = ByteBufUtil.indexOf(sought, content.slice(from, content.writerIndex() - from));
		return (found < 0) ? found : from + found;
	}

}
