package sycamorehill.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;

/**
 * Reads bodies whole, with a bound, so that no sender can fill the memory.
 */
public final class BodyReader {

	private BodyReader() {
	}

	/**
	 * Reads a body as UTF-8 text.
	 * @param payload the body as it arrives
	 * @param maximumBytes the bound; a larger body fails with
	 * {@link BodyTooLargeException}
	 * @return the text
	 */
	public static Single<String> readText(Publisher<Buffer> payload, int maximumBytes) {
		return payload
			.collect(ByteArrayOutputStream::new, (collected, buffer) -> append(collected, buffer, maximumBytes))
			.map((collected) -> collected.toString(StandardCharsets.UTF_8));
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream collected, Buffer buffer, int maximumBytes) {
		if (collected.size() + buffer.readableBytes() > maximumBytes) {
			throw BodyTooLargeException.exceeding(maximumBytes);
		}
		byte[] bytes = new byte[buffer.readableBytes()];
		buffer.readBytes(bytes);
		collected.writeBytes(bytes);
		return collected;
	}

}
