package sycamorehill.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.WorkspaceUse;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the encoding of messages between nodes.
 */
class NodeMessageCodecTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final TargetName TARGET = TargetName.of("e1");

	private final NodeMessageCodec codec = NodeMessageCodec.create();

	// Nodes of the version before read no use.
	@Test
	void aLoadMessageWithoutUseContainsNothingMore() throws IOException {
		byte[] bytes = this.codec.write(new NodeMessage.Loads("n1", NORTH, true, Map.of(TARGET, 3)));
		assertThat(new String(bytes, StandardCharsets.ISO_8859_1)).doesNotContain("use", "workspaces");
	}

	@Test
	void theUseOfFortyWorkspacesTakesAFewHundredBytes() throws IOException {
		Map<WorkspaceName, WorkspaceUse> uses = new HashMap<>();
		for (int index = 0; index < 40; index++) {
			uses.put(WorkspaceName.of("workspace-" + (100 + index)), new WorkspaceUse(1000.0 / (index + 1), 500));
		}
		ModelUse use = new ModelUse(new ServedModel(ServingSamples.ENGINES, Optional.of("small")), uses);
		assertThat(bytesOfUse(use.bounded(8))).isLessThan(300);
		assertThat(bytesOfUse(use.bounded(24))).isLessThan(750);
	}

	private int bytesOfUse(ModelUse use) throws IOException {
		UseReport report = new UseReport(List.of(use));
		int bytes = this.codec.write(new NodeMessage.Loads("n1", NORTH, true, Map.of(TARGET, 3), report)).length
				- this.codec.write(new NodeMessage.Loads("n1", NORTH, true, Map.of(TARGET, 3))).length;
		return bytes;
	}

	@Test
	void roundTripsEveryKind() throws IOException {
		Set<Class<?>> kinds = NodeMessageSamples.oneOfEachKind()
			.stream()
			.map(Object::getClass)
			.collect(Collectors.toSet());
		assertThat(kinds).containsExactlyInAnyOrder(NodeMessage.class.getPermittedSubclasses());
		for (NodeMessage message : NodeMessageSamples.oneOfEachKind()) {
			assertThat(this.codec.read(this.codec.write(message))).isEqualTo(message);
		}
	}

	// Nodes of earlier deployments get the same bytes as before.
	@Test
	void anUpdateWithoutEvacuationsContainsNoFieldForThem() throws IOException {
		NodeMessage update = new NodeMessage.StoreUpdate("n1", NORTH, 5, 1, 90, 100, 110, List.of(), Optional.empty(),
				Duration.ZERO);
		assertThat(new ObjectMapper(new MessagePackFactory()).readTree(this.codec.write(update)).fieldNames())
			.toIterable()
			.containsExactly("kind", "sender", "data-centre", "configuration", "configuration-revision",
					"changed-before", "since", "revision", "age-millis", "changes");
	}

	// A node of a later version sends a kind of message that this version does not know.
	@Test
	void refusesUnknownKind() throws IOException {
		byte[] bytes = this.codec.write(new NodeMessage.Silence("n1", TARGET));
		for (int index = 0; index < bytes.length - 6; index++) {
			if (new String(bytes, index, 7).equals("SILENCE")) {
				bytes[index] = 'X';
			}
		}
		assertThatThrownBy(() -> this.codec.read(bytes)).isInstanceOf(IllegalArgumentException.class);
	}

	// A value that states a length of 2 GB must not fill the heap of the receiver.
	@Test
	void messageThatStatesMoreBytesThanItHasIsRefused() {
		byte[] message = { (byte) 0x81, (byte) 0xa4, 't', 'e', 'x', 't', (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff,
				(byte) 0xf0 };
		assertThatThrownBy(() -> NodeMessageCodec.create().read(message)).isInstanceOf(IOException.class);
	}

}
