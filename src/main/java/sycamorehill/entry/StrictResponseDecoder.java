package sycamorehill.entry;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Decodes answers of targets and refuses those that are malformed or whose length is
 * ambiguous.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

	private final HeadProgress headProgress = HeadProgress.create();

	private final MessageSyntax syntax = MessageSyntax.of(StatusLineSyntax.create(), this::createInvalidMessage);

	private boolean headOnly;

	private boolean requestSent;

	/** Whether requests for a head alone and others were sent on the connection. */
	private boolean headsAndBodies;

	private StrictResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	static StrictResponseDecoder create() {
		return new StrictResponseDecoder(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_HEADER_BYTES)
			.setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
			.setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
	}

	/**
	 * Sets whether the next answer is one to a HEAD request, which has no body whatever
	 * its head says.
	 * @param headOnly whether it is
	 */
	void expectHeadOnly(boolean headOnly) {
		this.headsAndBodies |= this.requestSent && headOnly != this.headOnly;
		this.requestSent = true;
		this.headOnly = headOnly;
	}

	/**
	 * Returns whether it is certain where an answer ends that is not the expected one.
	 * Without a length it would take the expected one for its body, and with one too if
	 * its request was for a head alone.
	 * @param response the head of the answer
	 * @return whether it is certain
	 */
	boolean hasCertainEnd(HttpResponse response) {
		return !this.headsAndBodies && (isContentAlwaysEmpty(response) || HttpUtil.isContentLengthSet(response)
				|| HttpUtil.isTransferEncodingChunked(response));
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headOnly || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Returns whether bytes have arrived that are no whole part of an answer yet.
	 * @return whether there are such bytes
	 */
	boolean hasPartialInput() {
		return this.headProgress.isBegun() || actualReadableBytes() > 0;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
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
