package sycamorehill.entry;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

import sycamorehill.model.serving.CallerLimits;

/**
 * Decodes requests and refuses those that a target could frame differently. With
 * ambiguous framing a caller could hide a second request in the body of the first, and a
 * target would execute it as the request of somebody else.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	private final HeadProgress headProgress = HeadProgress.create();

	private final MessageSyntax syntax = MessageSyntax.of(FirstLineSyntax.REQUEST_LINE, this::createInvalidMessage);

	private StrictRequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	static StrictRequestDecoder of(CallerLimits limits) {
		return new StrictRequestDecoder(new HttpDecoderConfig().setMaxInitialLineLength(limits.maximumHeaderBytes())
			.setMaxHeaderSize(limits.maximumHeaderBytes())
			.setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false)
			.setStrictLineParsing(true));
	}

	/**
	 * Returns whether the first line of a request has been read and its head has not. The
	 * line is in this decoder alone, which can't be replaced then.
	 * @return whether it is so
	 */
	boolean hasBegunHead() {
		return this.headProgress.isBegun();
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		this.headProgress.begin();
		return super.createMessage(initialLine);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		this.syntax.decode(buffer, out, () -> this.headProgress.decode(out, () -> super.decode(context, buffer, out)));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both a length and chunks");
	}

}
