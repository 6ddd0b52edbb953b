package sycamorehill.entry;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.serving.NodeMessage;

/**
 * Encodes messages between entry nodes as MessagePack.
 */
final class NodeMessageCodec {

	private static final String KIND = "kind";

	private static final String SENDER = "sender";

	private final ObjectMapper codec = new ObjectMapper(new MessagePackFactory());

	private NodeMessageCodec() {
	}

	static NodeMessageCodec create() {
		return new NodeMessageCodec();
	}

	byte[] write(NodeMessage message) throws IOException {
		ObjectNode body = this.codec.createObjectNode();
		body.put(KIND, NodeMessageKind.of(message).name()).put(SENDER, message.sender());
		NodeMessageFields.write(message, body);
		return this.codec.writeValueAsBytes(body);
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded message
	 * @return the message
	 * @throws IOException if the bytes are not a message
	 * @throws IllegalArgumentException if a field is invalid
	 */
	NodeMessage read(byte[] bytes) throws IOException {
		checkLengths(bytes);
		if (this.codec.readTree(bytes) instanceof ObjectNode body) {
			NodeMessageKind kind = NodeMessageKind.valueOf(body.path(KIND).asText());
			return NodeMessageFields.read(kind, body.path(SENDER).asText(), body);
		}
		throw new IOException("not a message");
	}

	// Memory for a value is taken by the length that the message states: one that is
	// longer than the message would fill the heap.
	private static void checkLengths(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			unpacker.skipValue();
		}
		catch (MessagePackException ex) {
			throw new IOException("not a message", ex);
		}
	}

}
