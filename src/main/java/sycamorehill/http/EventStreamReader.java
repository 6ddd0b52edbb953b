package sycamorehill.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.servicetalk.buffer.api.Buffer;

/**
 * Cuts a server-sent event stream into its data lines. Not thread-safe: one stream, one
 * reader.
 */
public final class EventStreamReader {

	private static final String DATA = "data:";

	private static final int MAXIMUM_LINE_BYTES = 256 * 1024;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private EventStreamReader() {
	}

	/**
	 * Creates a reader at the start of a stream.
	 * @return the reader
	 */
	public static EventStreamReader create() {
		return new EventStreamReader();
	}

	/**
	 * Takes the next bytes in.
	 * @param buffer the bytes as they arrived, cut anywhere
	 * @return the data of every line that is now whole
	 */
	public List<String> read(Buffer buffer) {
		List<String> data = new ArrayList<>();
		while (buffer.readableBytes() > 0) {
			byte next = buffer.readByte();
			if (next == '\n') {
				endLine(data);
			}
			else {
				append(next);
			}
		}
		return data;
	}

	private void append(byte next) {
		if (this.line.size() >= MAXIMUM_LINE_BYTES) {
			throw BodyTooLargeException.exceeding(MAXIMUM_LINE_BYTES);
		}
		this.line.write(next);
	}

	private void endLine(List<String> data) {
		String text = this.line.toString(StandardCharsets.UTF_8).strip();
		this.line.reset();
		if (text.startsWith(DATA)) {
			data.add(text.substring(DATA.length()).strip());
		}
	}

}
