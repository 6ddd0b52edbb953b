package sycamorehill.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
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

	private final List<EntryEvent> events = new ArrayList<>();

	private final EntryMetrics metrics = EntryMetrics.of(
			EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), Instant.EPOCH),
			LoopGuard.of(InstantSource.system(), () -> {
			}));

	private final CallerServer server = CallerServer.of(null, PlatformTestCodec.create(), this.events::add,
			ExchangeRegistry.create(), AnswerCutLog.of(this.metrics));

	private final CallerConnection connection = CallerConnection.of(this.server, CallerLimits.INITIAL);

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

}
