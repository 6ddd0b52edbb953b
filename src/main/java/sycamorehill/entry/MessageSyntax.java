package sycamorehill.entry;

import java.util.List;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Checks the bytes of messages before the decoder of the library takes anything from
 * them. That one corrects much: it takes control characters out of names, cuts a name at
 * a blank, and takes any number for a status. A line that two sides read differently
 * changes the status, the length or a header of a message.
 */
final class MessageSyntax {

	private final HeadSyntax head;

	private final ChunkSyntax chunks = ChunkSyntax.create();

	private final Supplier<HttpMessage> malformedMessage;

	private Part part = Part.HEAD;

	/** Number of bytes that have been checked and not decoded. */
	private int checkedBytes;

	private boolean malformed;

	private MessageSyntax(FirstLineSyntax firstLine, Supplier<HttpMessage> malformedMessage) {
		this.head = HeadSyntax.of(firstLine);
		this.malformedMessage = malformedMessage;
	}

	/**
	 * Creates the check of the messages on a connection.
	 * @param firstLine syntax of the first line of their heads
	 * @param malformedMessage creates what stands for a message with a malformed head
	 * @return the check
	 */
	static MessageSyntax of(FirstLineSyntax firstLine, Supplier<HttpMessage> malformedMessage) {
		return new MessageSyntax(firstLine, malformedMessage);
	}

	/**
	 * Checks what has arrived, and decodes it if it is well formed. A malformed message
	 * is one whose decoding has failed; whatever follows it is dropped.
	 * @param bytes bytes that have not been decoded
	 * @param decoded receives the parts that have been decoded
	 * @param step decodes at most one part more
	 * @throws Exception if the step throws it
	 */
	void decode(ByteBuf bytes, List<Object> decoded, HeadProgress.Step step) throws Exception {
		if (!this.malformed) {
			check(bytes, decoded);
		}
		if (this.malformed) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		int begin = bytes.readerIndex();
		int before = decoded.size();
		step.decode();
		this.checkedBytes = Math.max(0, this.checkedBytes - (bytes.readerIndex() - begin));
		for (int index = before; index < decoded.size(); index++) {
			follow(decoded.get(index));
		}
	}

	private void check(ByteBuf bytes, List<Object> decoded) {
		try {
			check(bytes);
		}
		catch (MalformedMessageException ex) {
			this.malformed = true;
			HttpObject failed = (this.part == Part.HEAD) ? this.malformedMessage.get()
					: new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
			failed.setDecoderResult(DecoderResult.failure(ex));
			decoded.add(failed);
		}
	}

	private void check(ByteBuf bytes) {
		int from = bytes.readerIndex() + this.checkedBytes;
		if (this.part == Part.CHUNKS && !this.chunks.isComplete()) {
			from = this.chunks.read(bytes, from);
			if (this.chunks.isComplete()) {
				this.head.beginTrailers();
			}
		}
		boolean inLines = this.part == Part.HEAD || (this.part == Part.CHUNKS && this.chunks.isComplete());
		if (inLines && !this.head.isComplete()) {
			int last = bytes.forEachByte(from, bytes.writerIndex() - from, this.head);
			from = (last < 0) ? bytes.writerIndex() : last + 1;
		}
		this.checkedBytes = from - bytes.readerIndex();
	}

	private void follow(Object part) {
		if (part instanceof HttpObject object && object.decoderResult().isFailure()) {
			this.malformed = true;
		}
		if (part instanceof HttpMessage message) {
			this.part = HttpUtil.isTransferEncodingChunked(message) ? Part.CHUNKS : Part.BODY;
			this.chunks.begin();
		}
		if (part instanceof LastHttpContent) {
			this.part = Part.HEAD;
			this.head.beginHead();
		}
	}

	/** The part of a message whose bytes are due. */
	private enum Part {

		HEAD, CHUNKS, BODY

	}

}
