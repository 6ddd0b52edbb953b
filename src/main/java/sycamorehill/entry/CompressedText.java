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
final class CompressedText {

	/** Longest text that is read. */
	private static final int MAXIMUM_BYTES = 4 * 1024 * 1024;

	private CompressedText() {
	}

	static byte[] compress(String text) throws IOException {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (OutputStream out = new DeflaterOutputStream(compressed)) {
			out.write(text.getBytes(StandardCharsets.UTF_8));
		}
		return compressed.toByteArray();
	}

	static String decompress(byte[] compressed) throws IOException {
		if (compressed == null) {
			throw new IOException("no text");
		}
		try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			byte[] bytes = in.readNBytes(MAXIMUM_BYTES + 1);
			if (bytes.length > MAXIMUM_BYTES) {
				throw new IOException("a text is longer than " + MAXIMUM_BYTES + " bytes");
			}
			return new String(bytes, StandardCharsets.UTF_8);
		}
	}

}
