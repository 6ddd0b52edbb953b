package sycamorehill.entry;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Changes of targets on their way between nodes.
 */
class TargetCodecTests {

	private final ObjectMapper codec = new ObjectMapper(new MessagePackFactory());

	private static TargetChange changeWithEntry(TargetEntry entry) {
		return new TargetChange(entry.name(), Optional.of(entry));
	}

	@Test
	void roundTripsChanges() throws IOException {
		TargetEntry engine = ServingSamples.engine("e1", "d0");
		TargetEntry loaded = new TargetEntry(engine.name(), engine.service(), engine.address(), engine.dataCentre(), 12,
				true, 1234567890123L, engine.domain(), Set.of("large", "small"), Optional.of("large"),
				Optional.empty());
		List<TargetChange> changes = List.of(changeWithEntry(ServingSamples.plain("p1")), changeWithEntry(loaded),
				changeWithEntry(ServingSamples.member("a1", "small.1", 1_000_001, 3, MemberState.CLOSING)),
				new TargetChange(TargetName.of("gone"), Optional.empty()));
		ArrayNode written = this.codec.createArrayNode();
		TargetCodec.write(changes, written);
		byte[] bytes = this.codec.writeValueAsBytes(written);
		assertThat(TargetCodec.read(this.codec.readTree(bytes))).isEqualTo(changes);
	}

	// Another version of the program sends a state that this one doesn't know: the
	// message is dropped whole, as one that was lost, and what it told is read from
	// the store.
	@Test
	void refusesUnknownMemberState() {
		ArrayNode written = this.codec.createArrayNode();
		TargetCodec.write(List.of(changeWithEntry(ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN))),
				written);
		written.findParent("state").put("state", "DANCING");
		assertThatThrownBy(() -> TargetCodec.read(written)).isInstanceOf(IllegalArgumentException.class);
	}

}
