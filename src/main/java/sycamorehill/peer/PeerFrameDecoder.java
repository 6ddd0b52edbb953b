package sycamorehill.peer;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Splits the byte stream into frames. Until the other end has authenticated itself, only
 * small frames are allowed.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

	private int maximumFrameBytes = PeerProtocol.MAXIMUM_UNAUTHENTICATED_FRAME_BYTES;

	private PeerFrameDecoder() {
		super(PeerProtocol.MAXIMUM_FRAME_BYTES, 0, PeerProtocol.LENGTH_BYTES, 0, PeerProtocol.LENGTH_BYTES);
	}

	static PeerFrameDecoder create() {
		return new PeerFrameDecoder();
	}

	void markAuthenticated() {
		this.maximumFrameBytes = PeerProtocol.MAXIMUM_FRAME_BYTES;
	}

	@Override
	protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
		long frame = super.getUnadjustedFrameLength(buffer, offset, length, order);
		if (frame > this.maximumFrameBytes) {
			throw new TooLongFrameException("a frame of " + frame + " bytes");
		}
		return frame;
	}

}
