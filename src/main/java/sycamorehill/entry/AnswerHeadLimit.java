package sycamorehill.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the bytes that a target may send before the head of an answer is complete. The
 * decoder limits lines and headers, but skips control characters and interim answers
 * without end.
 */
final class AnswerHeadLimit extends ChannelInboundHandlerAdapter {

	private final TargetConnection connection;

	private AnswerHeadLimit(TargetConnection connection) {
		this.connection = connection;
	}

	static AnswerHeadLimit of(TargetConnection connection) {
		return new AnswerHeadLimit(connection);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf received && !this.connection.admitBytes(received.readableBytes())) {
			received.release();
			return;
		}
		context.fireChannelRead(message);
	}

}
