package sycamorehill.entry;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.NodeMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests messages of other nodes with odd values: a message is refused, or has no value
 * with which a later decision fails.
 */
class OddNodeMessageTests {

	private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private static final int LEVELS = 80_000;

	private static final List<JsonNode> ODD = List.of(NODES.numberNode(Long.MAX_VALUE),
			NODES.numberNode(Long.MIN_VALUE), NODES.numberNode(BigInteger.ONE.shiftLeft(64).subtract(BigInteger.ONE)),
			NODES.numberNode(-1), NODES.numberNode(1L << 32), NODES.numberNode(Double.NaN),
			NODES.numberNode(Double.POSITIVE_INFINITY), NODES.numberNode(1e300), NODES.textNode("12"),
			NODES.textNode(""), NODES.textNode("a\nSYC-1001"), NODES.textNode("node.invalid:80"), NODES.nullNode(),
			NODES.booleanNode(true), NODES.arrayNode().add(1), NODES.objectNode().put("a", 1),
			NODES.binaryNode(new byte[] { -1, -2 }));

	private final NodeMessageCodec codec = NodeMessageCodec.create();

	// Guards against a node whose decisions fail because of one value in a message.
	@Test
	void aMessageWithAnOddValueIsRefusedOrSound() throws Exception {
		List<String> faults = new ArrayList<>();
		for (NodeMessage message : NodeMessageSamples.oneOfEachKind()) {
			ObjectNode body = (ObjectNode) MESSAGE_PACK.readTree(this.codec.write(message));
			for (int place = 0; place < places(body); place++) {
				for (JsonNode odd : ODD) {
					ObjectNode changed = body.deepCopy();
					String name = replace(changed, new int[] { place }, odd);
					check(changed, message.getClass().getSimpleName() + ' ' + name + '=' + odd, faults);
				}
			}
		}
		assertThat(faults).isEmpty();
	}

	private void check(ObjectNode changed, String description, List<String> faults) throws Exception {
		try {
			NodeMessage read = this.codec.read(MESSAGE_PACK.writeValueAsBytes(changed));
			collectFaults(read, description, faults);
			this.codec.write(read);
		}
		catch (IOException | IllegalArgumentException ex) {
			assertThat(ex.getMessage()).isNotBlank();
		}
		catch (RuntimeException ex) {
			faults.add(description + ' ' + ex);
		}
	}

	private static int places(JsonNode node) {
		int places = 0;
		for (JsonNode child : node) {
			places += 1 + places(child);
		}
		return places;
	}

	private static String replace(ContainerNode<?> parent, int[] place, JsonNode odd) {
		List<String> names = new ArrayList<>();
		parent.fieldNames().forEachRemaining(names::add);
		for (int index = 0; index < parent.size(); index++) {
			if (place[0]-- == 0) {
				return names.isEmpty() ? set((ArrayNode) parent, index, odd)
						: set((ObjectNode) parent, names.get(index), odd);
			}
			JsonNode child = names.isEmpty() ? parent.get(index) : parent.get(names.get(index));
			String found = (child instanceof ContainerNode<?> container) ? replace(container, place, odd) : "";
			if (!found.isEmpty()) {
				return found;
			}
		}
		return "";
	}

	private static String set(ArrayNode parent, int index, JsonNode odd) {
		parent.set(index, odd);
		return "element " + index;
	}

	private static String set(ObjectNode parent, String name, JsonNode odd) {
		parent.set(name, odd);
		return name;
	}

	private static void collectFaults(Object value, String description, List<String> faults) throws Exception {
		if (value instanceof Duration duration && (duration.isNegative() || duration.toDays() > 1)) {
			faults.add(description + " gives " + duration);
		}
		else if (value instanceof Double number && (!Double.isFinite(number) || number < 0)) {
			faults.add(description + " gives " + number);
		}
		else if (value instanceof Optional<?> optional && optional.isPresent()) {
			collectFaults(optional.get(), description, faults);
		}
		else if (value instanceof Collection<?> elements) {
			for (Object element : elements) {
				collectFaults(element, description, faults);
			}
		}
		else if (value instanceof Map<?, ?> map) {
			collectFaults(map.values(), description, faults);
		}
		else if (value instanceof Record) {
			for (RecordComponent component : value.getClass().getRecordComponents()) {
				collectFaults(component.getAccessor().invoke(value), description, faults);
			}
		}
	}

	// Guards against a stack that a deeply nested message exhausts.
	@Test
	void aDeeplyNestedMessageIsRefused() {
		for (byte nested : new byte[] { (byte) 0x91, (byte) 0x81 }) {
			byte[] message = new byte[LEVELS];
			Arrays.fill(message, nested);
			assertThatThrownBy(() -> this.codec.read(message)).isInstanceOf(IOException.class);
		}
	}

	@Test
	void aDeeplyNestedFieldThatIsNotReadIsIgnored() throws Exception {
		NodeMessage silence = new NodeMessage.Silence("n1", TargetName.of("e1"));
		ObjectNode body = (ObjectNode) MESSAGE_PACK.readTree(this.codec.write(silence));
		byte[] bytes = MESSAGE_PACK.writeValueAsBytes(body.put("x", 1));
		byte[] message = Arrays.copyOf(bytes, bytes.length + LEVELS);
		Arrays.fill(message, bytes.length - 1, message.length - 1, (byte) 0x91);
		message[message.length - 1] = 1;
		assertThat(this.codec.read(message)).isEqualTo(silence);
	}

}
