package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import sycamorehill.model.serving.AttemptEnd;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests frames of other nodes with odd bytes.
 */
class OddProxyFrameTests {

	/** First bytes of values that state a length of four bytes, or a wide number. */
	private static final byte[] WIDE = { (byte) 0xc6, (byte) 0xdb, (byte) 0xdd, (byte) 0xdf, (byte) 0xcf, (byte) 0xc1 };

	// Guards against a frame that fills the heap, or throws what its reader doesn't
	// expect.
	@Test
	void aFrameWithAnOddValueIsRefusedOrRead() throws IOException {
		ProxyFrameCodec codec = ProxyFrameCodec.create();
		int refused = 0;
		for (ProxyFrame frame : ProxyFrameCodecTests.frames()) {
			byte[] bytes = codec.write(frame);
			for (int place = 0; place < bytes.length; place++) {
				for (byte first : WIDE) {
					refused += isRefused(replaced(bytes, place, first)) ? 1 : 0;
				}
			}
		}
		assertThat(refused).isPositive();
	}

	private static byte[] replaced(byte[] bytes, int place, byte first) {
		byte[] changed = Arrays.copyOf(bytes, Math.max(bytes.length, place + 5));
		changed[place] = first;
		changed[place + 1] = 0x7f;
		Arrays.fill(changed, place + 2, place + 5, (byte) 0xff);
		return changed;
	}

	private static boolean isRefused(byte[] bytes) {
		try {
			ProxyFrameCodec.read(bytes);
			return false;
		}
		catch (IOException | RuntimeException ex) {
			return true;
		}
	}

	// Guards against sums of times that overflow in later decisions.
	@Test
	void timesOutOfRangeAreLimited() throws IOException {
		for (long nanos : new long[] { Long.MAX_VALUE, Long.MIN_VALUE, -1 }) {
			try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
				packer.packString("END").packNil().packString("delivered").packInt(200).packLong(nanos);
				ProxyFrame.End end = (ProxyFrame.End) ProxyFrameCodec.read(packer.toByteArray());
				assertThat(end.target()).isEqualTo(Optional.empty());
				assertThat(((AttemptEnd.Delivered) end.end()).longestPause()).isBetween(Duration.ZERO,
						Duration.ofDays(366));
			}
		}
	}

}
