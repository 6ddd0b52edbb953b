package sycamorehill.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Texts in few bytes: a message that fits in few datagrams is seldom lost with one of
 * them. The check sum within finds a text that was changed on its way.
 */
final class PackedText {

	/** Longest text that is read. */
	private static final int MOST_BYTES = 4 * 1024 * 1024;

	private PackedText() {
	}

	static byte[] pack(String text) throws IOException {
		ByteArrayOutputStream packed = new ByteArrayOutputStream();
		try (OutputStream out = new DeflaterOutputStream(packed)) {
			out.write(text.getBytes(StandardCharsets.UTF_8));
		}
		return packed.toByteArray();
	}

	static String unpack(byte[] packed) throws IOException {
		if (packed == null) {
			throw new IOException("no text");
		}
		try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(packed))) {
			byte[] bytes = in.readNBytes(MOST_BYTES + 1);
			if (bytes.length > MOST_BYTES) {
				throw new IOException("a text is longer than " + MOST_BYTES + " bytes");
			}
			return new String(bytes, StandardCharsets.UTF_8);
		}
	}

}
