package sycamorehill.peer;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Cuts the stream into frames; the bound is low until the other end has proven itself.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

	private int largest = PeerProtocol.LARGEST_STRANGER_FRAME;

	private PeerFrameDecoder() {
		super(PeerProtocol.LARGEST_FRAME, 0, PeerProtocol.LENGTH_BYTES, 0, PeerProtocol.LENGTH_BYTES);
	}

	static PeerFrameDecoder create() {
		return new PeerFrameDecoder();
	}

	void trust() {
		this.largest = PeerProtocol.LARGEST_FRAME;
	}

	@Override
	protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
		long frame = super.getUnadjustedFrameLength(buffer, offset, length, order);
		if (frame > this.largest) {
			throw new TooLongFrameException("a frame of " + frame + " bytes");
		}
		return frame;
	}

}
