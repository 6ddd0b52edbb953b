package sycamorehill.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import sycamorehill.logic.entry.EntryReducer;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.RecordedLog;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests failures of a caller's connection that no caller or target can cause from
 * outside.
 */
class CallerConnectionTests {

	private static final int PART_BYTES = 32 * 1024;

	private final List<EntryEvent> events = new ArrayList<>();

	private final EntryMetrics metrics = EntryMetrics.of(
			EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), Instant.EPOCH),
			LoopGuard.of(InstantSource.system(), () -> {
			}));

	private final ExchangeRegistry exchanges = ExchangeRegistry.create();

	private final CallerServer server = CallerServer.of(null, PlatformTestCodec.create(), this::post, this.exchanges,
			AnswerCutLog.of(this.metrics), CallerConnectionLimit.of(4200, System::nanoTime));

	private boolean memoryIsShort;

	private final CallerConnection connection = CallerConnection.of(this.server, CallerLimits.INITIAL);

	private void post(EntryEvent event) {
		if (this.memoryIsShort) {
			throw new OutOfMemoryError("thrown by a test");
		}
		this.events.add(event);
	}

	private EmbeddedChannel open(String identifier) {
		EmbeddedChannel channel = new EmbeddedChannel(StrictRequestDecoder.of(CallerLimits.INITIAL),
				new HttpResponseEncoder(), this.connection);
		channel.writeInbound(
				Unpooled.copiedBuffer(CallerNode.request("/again/x", identifier), StandardCharsets.ISO_8859_1));
		assertThat(this.events).singleElement().isInstanceOf(EntryEvent.RequestArrived.class);
		return channel;
	}

	private void assertCut(String identifier, CutCause cause) throws Exception {
		assertThat(RecordedLog.await("SYC-1914 ANSWER_CUT", "request=" + identifier + ' ')).singleElement()
			.asString()
			.contains("cause=" + cause + ' ');
		assertThat(RecordedLog.lines("REQUEST_FAILED", "requests=" + identifier + ' ')).hasSize(1);
		assertThat(this.metrics.page().text()).contains("answers_cut_" + cause + " 1.0");
		assertThat(this.events).last().isEqualTo(new EntryEvent.CallerDisconnected(1, true));
	}

	// A part that can't be encoded ends the answer, and the line says that the caller
	// left.
	@Test
	void answerWhosePartCanNotBeEncodedIsReported() throws Exception {
		EmbeddedChannel channel = open("cut-unwritable");
		this.connection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		this.connection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		channel.runPendingTasks();
		assertThat(channel.isOpen()).isFalse();
		assertCut("cut-unwritable", CutCause.WRITE_FAILED);
	}

	// The time limit and the start of the stream cross: the node's own answer is written
	// within the stream.
	@Test
	void ownAnswerThatCrossesTheStartOfTheStreamEndsTheStream() throws Exception {
		EmbeddedChannel channel = open("cut-crossed");
		CallerExchange exchange = this.exchanges.find(1, CallerExchange.class).orElseThrow();
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		exchange.startStream(head, PlatformTestCodec.create().readTargetResponse(head));
		exchange.forwardEvent(Unpooled.copiedBuffer("data: e1\n\n", StandardCharsets.ISO_8859_1), OptionalLong.of(1));
		exchange.flush();
		exchange.answerLocally(504, "no answer in time", Optional.empty());
		channel.runPendingTasks();
		assertThat(channel.isOpen()).isFalse();
		assertThat(RecordedLog.await("ANSWER_CUT", "request=cut-crossed ")).singleElement()
			.asString()
			.contains("cause=GAVE_UP parts=1 ");
		assertThat(RecordedLog.lines("REQUEST_FAILED", "requests=cut-crossed ")).isEmpty();
	}

	// An error of the process ends the answer, and the line says that the caller left.
	@Test
	void answerWhoseConnectionFailsIsReported() throws Exception {
		EmbeddedChannel channel = open("cut-failed");
		channel.pipeline().fireExceptionCaught(new IllegalStateException("test"));
		channel.runPendingTasks();
		assertThat(channel.isOpen()).isFalse();
		assertCut("cut-failed", CutCause.CONNECTION_FAILED);
	}

	// A network that resets the connection is not the node.
	@Test
	void resetByTheNetworkIsNotReportedAsCut() throws Exception {
		EmbeddedChannel channel = open("left-reset");
		channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
		channel.runPendingTasks();
		assertThat(RecordedLog.await("REQUEST_FAILED", "requests=left-reset ")).hasSize(1);
		assertThat(RecordedLog.lines("ANSWER_CUT", "request=left-reset ")).isEmpty();
		assertThat(this.events).last().isEqualTo(new EntryEvent.CallerDisconnected(1, false));
	}

	// A caller sends its next request with a large body before it has the answer: the
	// parts must wait in its own socket, not in the memory of the node.
	@Test
	void readingStopsWhileTheBodyOfTheNextRequestWaits() {
		EmbeddedChannel channel = new EmbeddedChannel(this.connection);
		HttpRequest served = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		served.headers().set(HttpHeaderNames.HOST, "feed.example");
		channel.writeInbound(served);
		assertThat(this.events).hasSize(1);
		HttpRequest next = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
		next.headers().set(HttpHeaderNames.HOST, "feed.example").set(HttpHeaderNames.CONTENT_LENGTH, 20 * PART_BYTES);
		channel.writeInbound(next);
		assertThat(channel.config().isAutoRead()).isTrue();
		for (int part = 0; part < 3; part++) {
			channel.writeInbound(new DefaultHttpContent(Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES)));
		}
		assertThat(channel.config().isAutoRead()).isFalse();
		channel.finishAndReleaseAll();
	}

	// An error after a request was read must not close its connection without an answer,
	// nor count its body as held for good.
	@Test
	void aRequestThatCanNotBeHandledIsRefusedAndItsBodyReleased() {
		EmbeddedChannel channel = new EmbeddedChannel(this.connection);
		this.memoryIsShort = true;
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
				Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES));
		request.headers().set(HttpHeaderNames.HOST, "feed.example").set(HttpHeaderNames.CONTENT_LENGTH, PART_BYTES);
		channel.writeInbound(request);
		FullHttpResponse answer = channel.readOutbound();
		assertThat(answer.status()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
		answer.release();
		assertThat(this.server.reserveBody(CallerServer.MAXIMUM_BODY_BYTES)).isTrue();
		channel.finishAndReleaseAll();
	}

}
