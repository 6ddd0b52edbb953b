package sycamorehill.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Bytes that were written to a channel and that its socket has not taken yet. Closing the
 * channel discards them.
 */
final class UnsentOutput {

	private UnsentOutput() {
	}

	/**
	 * Counts the bytes. Called on the event loop of the channel.
	 * @param channel the channel
	 * @return a number that shrinks with each byte that the socket takes; 0 if it has
	 * taken all
	 */
	static long bytes(Channel channel) {
		ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
	}

}
