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
 * Compresses texts for messages: the fewer datagrams a message takes, the less likely it
 * is lost. The checksum of the format detects a text that was corrupted in transit.
 */
final class CompressedText {

	/** Maximum size of a decompressed text. */
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
