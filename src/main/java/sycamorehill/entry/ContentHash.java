package sycamorehill.entry;

import java.util.Objects;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Hashes the content by which a request is recognized when its caller repeats it. The
 * caller is part of it: an answer to the same request of another caller proves nothing.
 */
final class ContentHash {

	private ContentHash() {
	}

	static long of(HttpRequest request, String caller, ByteBuf body) {
		HashStream64 hash = Hashing.xxh3_64().hashStream();
		hash.putString(request.method().name())
			.putString(Objects.requireNonNullElse(request.headers().get(HttpHeaderNames.HOST), ""))
			.putString(request.uri())
			.putString(caller);
		byte[] bytes = new byte[body.readableBytes()];
		body.getBytes(body.readerIndex(), bytes);
		return hash.putBytes(bytes).getAsLong();
	}

}
