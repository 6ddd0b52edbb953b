package sycamorehill.entry;

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

	private static final int CHUNK_BYTES = 64 * 1024;

	private StrictRequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	static StrictRequestDecoder of(CallerLimits limits) {
		return new StrictRequestDecoder(new HttpDecoderConfig().setMaxInitialLineLength(limits.maximumHeaderBytes())
			.setMaxHeaderSize(limits.maximumHeaderBytes())
			.setMaxChunkSize(CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false)
			.setStrictLineParsing(true));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both a length and chunks");
	}

}
