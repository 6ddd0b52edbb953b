package sycamorehill.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import sycamorehill.model.identity.TargetName;

/**
 * Encodes frames between nodes as MessagePack. Used by a single thread.
 */
final class ProxyFrameCodec {

	/** Maximum size of a frame: the largest event of a stream, and its number. */
	static final int MAXIMUM_FRAME_BYTES = 1024 * 1024 + 1024;

	/** Size of the parts in which bodies are sent. */
	static final int BODY_PART_BYTES = 64 * 1024;

	private static final int MAXIMUM_HEADERS = 1000;

	private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

	private ProxyFrameCodec() {
	}

	static ProxyFrameCodec create() {
		return new ProxyFrameCodec();
	}

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return the encoded frame
	 * @throws IOException if a value can't be encoded
	 */
	byte[] write(ProxyFrame frame) throws IOException {
		this.packer.clear();
		this.packer.packString(ProxyFrameKind.of(frame).name());
		if (frame instanceof ProxyFrame.Request request) {
			writeRequest(request, this.packer);
		}
		else if (frame instanceof ProxyFrame.Body body) {
			writeBytes(body.bytes(), this.packer);
		}
		else if (frame instanceof ProxyFrame.Head head) {
			this.packer.packInt(head.status()).packString(head.reason()).packBoolean(head.streaming());
			writeHeaders(head.headers(), this.packer);
		}
		else if (frame instanceof ProxyFrame.Event event) {
			this.packer.packLong(event.number().orElse(-1));
			writeBytes(event.bytes(), this.packer);
		}
		else if (frame instanceof ProxyFrame.Stalled stalled) {
			this.packer.packString(stalled.target().value());
		}
		else if (frame instanceof ProxyFrame.End end) {
			ProxyFrameFields.writeOptional(end.target().map(TargetName::value), this.packer);
			ProxyFrameFields.writeEnd(end.end(), this.packer);
		}
		return this.packer.toByteArray();
	}

	private static void writeRequest(ProxyFrame.Request request, MessagePacker packer) throws IOException {
		ProxyFrameFields.writeRequest(request.request(), packer);
		packer.packString(request.method()).packString(request.uri());
		writeHeaders(request.headers(), packer);
		ProxyFrameFields.writeOptional(request.resumeAfter(), packer);
		ProxyFrameFields.writeOptional(request.weightsVersion(), packer);
		packer.packInt(request.bodyBytes());
		ProxyFrameFields.writePromptParts(request.request().sharedPromptParts(), packer);
		ProxyFrameFields.writeHomes(request.request().homes(), packer);
		packer.packBoolean(request.request().acceptsStallReports());
	}

	private static void writeHeaders(List<ProxyFrame.Header> headers, MessagePacker packer) throws IOException {
		packer.packArrayHeader(headers.size());
		for (ProxyFrame.Header header : headers) {
			packer.packString(header.name()).packString(header.value());
		}
	}

	private static void writeBytes(byte[] bytes, MessagePacker packer) throws IOException {
		packer.packBinaryHeader(bytes.length);
		packer.addPayload(bytes);
	}

	/**
	 * Decodes a frame.
	 * @param bytes the encoded frame
	 * @return the frame
	 * @throws IOException if the bytes are not a frame
	 * @throws RuntimeException if a value is invalid
	 */
	static ProxyFrame read(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			return switch (ProxyFrameKind.valueOf(unpacker.unpackString())) {
				case REQUEST -> readRequest(unpacker);
				case BODY -> new ProxyFrame.Body(readBytes(unpacker));
				case ACCEPTED -> new ProxyFrame.Accepted();
				case CONFIRMED -> new ProxyFrame.Confirmed();
				case HEAD -> readHead(unpacker);
				case EVENT -> readEvent(unpacker);
				case STALLED -> new ProxyFrame.Stalled(TargetName.of(unpacker.unpackString()));
				case END -> new ProxyFrame.End(ProxyFrameFields.readOptional(unpacker).map(TargetName::of),
						ProxyFrameFields.readEnd(unpacker));
			};
		}
	}

	private static ProxyFrame readRequest(MessageUnpacker unpacker) throws IOException {
		ProxyFrame.Request request = new ProxyFrame.Request(ProxyFrameFields.readRequest(unpacker),
				unpacker.unpackString(), unpacker.unpackString(), readHeaders(unpacker),
				ProxyFrameFields.readOptional(unpacker), ProxyFrameFields.readOptional(unpacker), unpacker.unpackInt());
		return request.withSharedPromptParts(ProxyFrameFields.readPromptParts(unpacker))
			.withHomes(ProxyFrameFields.readHomes(unpacker))
			.withStallReports(unpacker.hasNext() && unpacker.unpackBoolean());
	}

	private static ProxyFrame readHead(MessageUnpacker unpacker) throws IOException {
		int status = unpacker.unpackInt();
		String reason = unpacker.unpackString();
		boolean streaming = unpacker.unpackBoolean();
		return new ProxyFrame.Head(status, reason, readHeaders(unpacker), streaming);
	}

	private static ProxyFrame readEvent(MessageUnpacker unpacker) throws IOException {
		long number = unpacker.unpackLong();
		return new ProxyFrame.Event((number < 0) ? OptionalLong.empty() : OptionalLong.of(number), readBytes(unpacker));
	}

	private static List<ProxyFrame.Header> readHeaders(MessageUnpacker unpacker) throws IOException {
		int count = unpacker.unpackArrayHeader();
		if (count > MAXIMUM_HEADERS) {
			throw new IOException(count + " headers");
		}
		List<ProxyFrame.Header> headers = new ArrayList<>(count);
		for (int index = 0; index < count; index++) {
			headers.add(new ProxyFrame.Header(unpacker.unpackString(), unpacker.unpackString()));
		}
		return headers;
	}

	private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
		int length = unpacker.unpackBinaryHeader();
		if (length > MAXIMUM_FRAME_BYTES) {
			throw new IOException("a value of " + length + " bytes");
		}
		return unpacker.readPayload(length);
	}

}
