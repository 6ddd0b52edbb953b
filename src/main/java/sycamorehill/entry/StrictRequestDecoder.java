package sycamorehill.entry;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

import sycamorehill.model.serving.CallerLimits;

/**
 * Reads requests and refuses those that a target could frame otherwise. A request with
 * two framings would let a caller hide a second request in the body of the first, which a
 * target would run as somebody else's.
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
