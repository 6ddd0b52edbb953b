package sycamorehill.entry;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class CompressedTextTests {

	private static final String TEXT = "{\"routes\": [\"größer\"]}".repeat(400);

	@Test
	void roundTripsInFewBytes() throws IOException {
		byte[] compressed = CompressedText.compress(TEXT);
		assertThat(compressed.length).isLessThan(TEXT.length() / 10);
		assertThat(CompressedText.decompress(compressed)).isEqualTo(TEXT);
	}

	// A byte of a datagram was changed on its way. Read on, it would become a
	// configuration that nobody has written, in force until a newer one comes.
	@Test
	void refusesCorruptedText() throws IOException {
		byte[] compressed = CompressedText.compress(TEXT);
		for (int index = 0; index < compressed.length; index++) {
			byte[] changed = compressed.clone();
			changed[index] ^= 0x10;
			assertThatThrownBy(() -> CompressedText.decompress(changed)).as("byte " + index)
				.isInstanceOf(IOException.class);
		}
		assertThatThrownBy(() -> CompressedText.decompress(null)).isInstanceOf(IOException.class);
	}

	// A few bytes that unpack to gigabytes would fill the memory of each node.
	@Test
	void refusesTooLongText() throws IOException {
		byte[] compressed = CompressedText.compress("a".repeat(5 * 1024 * 1024));
		assertThatThrownBy(() -> CompressedText.decompress(compressed)).isInstanceOf(IOException.class)
			.hasMessageContaining("longer");
	}

}
