package sycamorehill.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.servicetalk.buffer.api.Buffer;

/**
 * Splits a stream of server-sent events into its data lines. Not thread-safe; each stream
 * needs its own reader.
 */
public final class EventStreamReader {

	private static final String DATA = "data:";

	private static final int MAXIMUM_LINE_BYTES = 256 * 1024;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private EventStreamReader() {
	}

	/**
	 * Creates a reader for a new stream.
	 * @return the reader
	 */
	public static EventStreamReader create() {
		return new EventStreamReader();
	}

	/**
	 * Reads the next bytes of the stream.
	 * @param buffer the received bytes, which may end in the middle of a line
	 * @return the data of every line completed by these bytes
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
