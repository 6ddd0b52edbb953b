package sycamorehill.entry;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers of targets and refuses those whose length is ambiguous.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private static final int HEADER_BYTES = 64 * 1024;

	private static final int CHUNK_BYTES = 64 * 1024;

	private StrictResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	static StrictResponseDecoder create() {
		return new StrictResponseDecoder(new HttpDecoderConfig().setMaxInitialLineLength(HEADER_BYTES)
			.setMaxHeaderSize(HEADER_BYTES)
			.setMaxChunkSize(CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both a length and chunks");
	}

}
