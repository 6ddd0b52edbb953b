package sycamorehill.entry;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.platform.PlatformTestCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what a caller's connection holds while a request is served.
 */
class CallerConnectionTests {

	private static final int PART_BYTES = 32 * 1024;

	private final List<EntryEvent> events = new ArrayList<>();

	private boolean memoryIsShort;

	private final CallerServer server = CallerServer.of(null, PlatformTestCodec.create(), this::post,
			ExchangeRegistry.create());

	private final EmbeddedChannel channel = new EmbeddedChannel(CallerConnection.of(this.server, CallerLimits.INITIAL));

	private void post(EntryEvent event) {
		if (this.memoryIsShort) {
			throw new OutOfMemoryError("thrown by a test");
		}
		this.events.add(event);
	}

	@AfterEach
	void end() {
		this.channel.finishAndReleaseAll();
	}

	// A caller sends its next request with a large body before it has the answer: the
	// parts must wait in its own socket, not in the memory of the node.
	@Test
	void readingStopsWhileTheBodyOfTheNextRequestWaits() {
		HttpRequest served = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		served.headers().set(HttpHeaderNames.HOST, "feed.example");
		this.channel.writeInbound(served);
		assertThat(this.events).hasSize(1);
		HttpRequest next = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
		next.headers().set(HttpHeaderNames.HOST, "feed.example").set(HttpHeaderNames.CONTENT_LENGTH, 20 * PART_BYTES);
		this.channel.writeInbound(next);
		assertThat(this.channel.config().isAutoRead()).isTrue();
		for (int part = 0; part < 3; part++) {
			this.channel.writeInbound(new DefaultHttpContent(Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES)));
		}
		assertThat(this.channel.config().isAutoRead()).isFalse();
	}

	// An error after a request was read must not close its connection without an answer,
	// nor count its body as held for good.
	@Test
	void aRequestThatCanNotBeHandledIsRefusedAndItsBodyReleased() {
		this.memoryIsShort = true;
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
				Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES));
		request.headers().set(HttpHeaderNames.HOST, "feed.example").set(HttpHeaderNames.CONTENT_LENGTH, PART_BYTES);
		this.channel.writeInbound(request);
		FullHttpResponse answer = this.channel.readOutbound();
		assertThat(answer.status()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
		answer.release();
		assertThat(this.server.reserveBody(CallerServer.MAXIMUM_BODY_BYTES)).isTrue();
	}

}
