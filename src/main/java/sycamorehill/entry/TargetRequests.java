package sycamorehill.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Creates the requests that targets receive from the requests of callers.
 */
final class TargetRequests {

	private TargetRequests() {
	}

	/**
	 * Creates a request.
	 * @param exchange the caller's request
	 * @param codec translates its headers
	 * @param forwarding the information that the node adds
	 * @return the request
	 */
	static FullHttpRequest create(AttemptExchange exchange, ExchangeCodec codec, ForwardingMetadata forwarding) {
		ByteBuf content = exchange.requestBody();
		HttpHeaders headers = codec.targetHeaders(exchange.request(), forwarding);
		if (content.isReadable() || HttpUtil.isContentLengthSet(exchange.request())
				|| HttpUtil.isTransferEncodingChunked(exchange.request())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, exchange.request().method(), exchange.request().uri(),
				content, headers, EmptyHttpHeaders.INSTANCE);
	}

}
