package sycamorehill.entry;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PackedTextTests {

	private static final String TEXT = "{\"routes\": [\"größer\"]}".repeat(400);

	@Test
	void unpacksWhatItPackedIntoFewBytes() throws IOException {
		byte[] packed = PackedText.pack(TEXT);
		assertThat(packed.length).isLessThan(TEXT.length() / 10);
		assertThat(PackedText.unpack(packed)).isEqualTo(TEXT);
	}

	// A byte of a datagram was changed on its way. Read on, it would become a
	// configuration that nobody has written, in force until a newer one comes.
	@Test
	void refusesATextThatWasChanged() throws IOException {
		byte[] packed = PackedText.pack(TEXT);
		for (int index = 0; index < packed.length; index++) {
			byte[] changed = packed.clone();
			changed[index] ^= 0x10;
			assertThatThrownBy(() -> PackedText.unpack(changed)).as("byte " + index).isInstanceOf(IOException.class);
		}
		assertThatThrownBy(() -> PackedText.unpack(null)).isInstanceOf(IOException.class);
	}

	// A few bytes that unpack to gigabytes would fill the memory of each node.
	@Test
	void refusesATextThatIsTooLong() throws IOException {
		byte[] packed = PackedText.pack("a".repeat(5 * 1024 * 1024));
		assertThatThrownBy(() -> PackedText.unpack(packed)).isInstanceOf(IOException.class)
			.hasMessageContaining("longer");
	}

}
