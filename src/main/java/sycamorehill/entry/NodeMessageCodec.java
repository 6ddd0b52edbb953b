package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestRate;

/**
 * Encodes messages between entry nodes as MessagePack.
 */
final class NodeMessageCodec {

	private static final String KIND = "kind";

	private static final String SENDER = "sender";

	private static final String DATA_CENTRE = "data-centre";

	private static final String TARGET = "target";

	private static final String CONTENT = "content";

	private static final String GROUP = "group";

	private static final String EPOCH = "epoch";

	private static final String REQUESTS = "requests";

	private static final String SUMS = "sums";

	private static final String NODE = "node";

	private static final String NODES = "nodes";

	private static final String ADDRESS = "address";

	private static final String PROCESSOR = "processor";

	private static final String HOLDER = "holder";

	private static final String TERM = "term";

	private static final String LEASE_REVISION = "lease-revision";

	private static final String STORE_REACHED = "store-reached";

	private static final String READING_MICROS = "reading-micros";

	private static final String CONFIGURATION = "configuration";

	private static final String CONFIGURATION_REVISION = "configuration-revision";

	private static final String TEXT = "text";

	private static final String SINCE = "since";

	private static final String CHANGED_BEFORE = "changed-before";

	private static final String REVISION = "revision";

	private static final String CHANGES = "changes";

	private static final String STARTED = "started";

	private static final String PER_SECOND = "per-second";

	private static final String AGE_MILLIS = "age-millis";

	private final ObjectMapper codec = new ObjectMapper(new MessagePackFactory());

	private NodeMessageCodec() {
	}

	static NodeMessageCodec create() {
		return new NodeMessageCodec();
	}

	byte[] write(NodeMessage message) throws IOException {
		return this.codec.writeValueAsBytes(encode(message));
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded message
	 * @return the message
	 * @throws IOException if the bytes are not a message
	 * @throws IllegalArgumentException if a field is invalid
	 */
	NodeMessage read(byte[] bytes) throws IOException {
		if (this.codec.readTree(bytes) instanceof ObjectNode body) {
			return decode(body);
		}
		throw new IOException("not a message");
	}

	private ObjectNode encode(NodeMessage message) throws IOException {
		ObjectNode body = this.codec.createObjectNode();
		body.put(KIND, Kind.of(message).name()).put(SENDER, message.sender());
		if (message instanceof NodeMessage.Loads loads) {
			body.put(DATA_CENTRE, loads.dataCentre().value()).put(STORE_REACHED, loads.storeReachable());
			write(loads.requests(), body);
		}
		else if (message instanceof NodeMessage.LoadsAdded aggregated) {
			ArrayNode sums = body.putArray(SUMS);
			aggregated.sums().forEach((sum) -> write(sum, sums.addObject()));
		}
		else if (message instanceof NodeMessage.Placed placed) {
			body.put(TARGET, placed.target().value()).put(READING_MICROS, placed.prefillTime().toNanos() / 1000);
		}
		else if (message instanceof NodeMessage.StoreNews update) {
			body.put(DATA_CENTRE, update.dataCentre().value())
				.put(CONFIGURATION, update.configurationVersion())
				.put(CONFIGURATION_REVISION, update.configurationRevision())
				.put(CHANGED_BEFORE, update.previousChangeRevision())
				.put(SINCE, update.since())
				.put(REVISION, update.revision())
				.put(AGE_MILLIS, update.age().toMillis());
			TargetCodec.write(update.changes(), body.putArray(CHANGES));
			update.lease()
				.ifPresent((lease) -> body.put(HOLDER, lease.holder())
					.put(TERM, lease.term())
					.put(LEASE_REVISION, lease.revision()));
		}
		else if (message instanceof NodeMessage.ConfigurationTold configuration) {
			body.put(CONFIGURATION, configuration.version()).put(TEXT, CompressedText.compress(configuration.text()));
		}
		else if (message instanceof NodeMessage.ChangesWanted wanted) {
			body.put(SINCE, wanted.since());
		}
		else if (message instanceof NodeMessage.ConfigurationWanted wanted) {
			body.put(CONFIGURATION, wanted.version());
		}
		else if (message instanceof NodeMessage.TargetsSeen targets) {
			TargetCodec.write(targets.changes(), body.putArray(CHANGES));
		}
		else if (message instanceof NodeMessage.Introduction introduction) {
			body.put(ADDRESS, introduction.node().address().toString())
				.put(DATA_CENTRE, introduction.node().dataCentre().value())
				.put(PROCESSOR, introduction.node().processorCores());
		}
		else if (message instanceof NodeMessage.LeaseGivenUp released) {
			body.put(HOLDER, released.holder());
		}
		else if (message instanceof NodeMessage.Silence silence) {
			body.put(TARGET, silence.target().value());
		}
		else if (message instanceof NodeMessage.SilenceConfirmed confirmed) {
			body.put(TARGET, confirmed.target().value());
		}
		else if (message instanceof NodeMessage.GroupEnded ended) {
			body.put(TARGET, ended.head().value()).put(GROUP, ended.group()).put(EPOCH, ended.epoch());
		}
		else if (message instanceof NodeMessage.TargetLimited limited) {
			body.put(TARGET, limited.target().value());
			limited.limit().ifPresent((limit) -> body.put(PER_SECOND, limit.perSecond()));
		}
		else if (message instanceof NodeMessage.TargetLeaving leaving) {
			body.put(TARGET, leaving.target().value()).put(STARTED, leaving.startMillis());
		}
		else if (message instanceof NodeMessage.Suspicion suspicion) {
			body.put(TARGET, suspicion.target().value()).put(CONTENT, suspicion.contentHash());
		}
		else if (message instanceof NodeMessage.Cleared cleared) {
			body.put(CONTENT, cleared.contentHash());
		}
		return body;
	}

	private static void write(LoadSum sum, ObjectNode body) {
		body.put(NODE, sum.aggregator()).put(DATA_CENTRE, sum.dataCentre().value()).put(NODES, sum.liveNodes());
		write(sum.requests(), body);
	}

	private static void write(Map<TargetName, Integer> requests, ObjectNode body) {
		ObjectNode numbers = body.putObject(REQUESTS);
		requests.forEach((target, number) -> numbers.put(target.value(), number));
	}

	private static NodeMessage decode(ObjectNode body) throws IOException {
		String sender = body.path(SENDER).asText();
		Kind kind = Kind.valueOf(body.path(KIND).asText());
		return switch (kind) {
			case LOADS -> new NodeMessage.Loads(sender, DataCentreName.of(body.path(DATA_CENTRE).asText()),
					body.path(STORE_REACHED).asBoolean(), requests(body));
			case LOADS_ADDED -> new NodeMessage.LoadsAdded(sender, sums(body));
			case PLACED -> new NodeMessage.Placed(sender, TargetName.of(body.path(TARGET).asText()),
					Duration.of(body.path(READING_MICROS).asLong(), ChronoUnit.MICROS));
			case STORE_NEWS -> new NodeMessage.StoreNews(sender, DataCentreName.of(body.path(DATA_CENTRE).asText()),
					body.path(CONFIGURATION).asLong(), body.path(CONFIGURATION_REVISION).asLong(),
					body.path(CHANGED_BEFORE).asLong(), body.path(SINCE).asLong(), body.path(REVISION).asLong(),
					TargetCodec.read(body.path(CHANGES)), lease(body),
					Duration.ofMillis(body.path(AGE_MILLIS).asLong()));
			case CONFIGURATION_TOLD -> new NodeMessage.ConfigurationTold(sender, body.path(CONFIGURATION).asLong(),
					CompressedText.decompress(body.path(TEXT).binaryValue()));
			case CHANGES_WANTED -> new NodeMessage.ChangesWanted(sender, body.path(SINCE).asLong());
			case CONFIGURATION_WANTED -> new NodeMessage.ConfigurationWanted(sender, body.path(CONFIGURATION).asLong());
			case TARGETS_SEEN -> new NodeMessage.TargetsSeen(sender, TargetCodec.read(body.path(CHANGES)));
			case INTRODUCTION -> new NodeMessage.Introduction(node(sender, body));
			case LEASE_GIVEN_UP -> new NodeMessage.LeaseGivenUp(sender, body.path(HOLDER).asText());
			case SILENCE -> new NodeMessage.Silence(sender, TargetName.of(body.path(TARGET).asText()));
			case SILENCE_CONFIRMED ->
				new NodeMessage.SilenceConfirmed(sender, TargetName.of(body.path(TARGET).asText()));
			case GROUP_ENDED -> new NodeMessage.GroupEnded(sender, TargetName.of(body.path(TARGET).asText()),
					body.path(GROUP).asText(), body.path(EPOCH).asLong());
			case TARGET_LIMITED ->
				new NodeMessage.TargetLimited(sender, TargetName.of(body.path(TARGET).asText()), limit(body));
			case TARGET_LEAVING -> new NodeMessage.TargetLeaving(sender, TargetName.of(body.path(TARGET).asText()),
					body.path(STARTED).asLong());
			case SUSPICION -> new NodeMessage.Suspicion(sender, body.path(CONTENT).asLong(),
					TargetName.of(body.path(TARGET).asText()));
			case CLEARED -> new NodeMessage.Cleared(sender, body.path(CONTENT).asLong());
		};
	}

	private static Optional<RequestRate> limit(JsonNode body) {
		return body.has(PER_SECOND) ? Optional.of(new RequestRate(body.path(PER_SECOND).asDouble())) : Optional.empty();
	}

	private static Optional<Lease> lease(JsonNode body) {
		return body.has(HOLDER) ? Optional
			.of(new Lease(body.path(HOLDER).asText(), body.path(TERM).asLong(), body.path(LEASE_REVISION).asLong()))
				: Optional.empty();
	}

	private static NodeRecord node(String name, JsonNode body) {
		return new NodeRecord(name, Address.parse(body.path(ADDRESS).asText()),
				DataCentreName.of(body.path(DATA_CENTRE).asText()), body.path(PROCESSOR).asDouble());
	}

	private static List<LoadSum> sums(JsonNode body) {
		List<LoadSum> sums = new ArrayList<>();
		body.path(SUMS)
			.forEach((sum) -> sums.add(new LoadSum(sum.path(NODE).asText(),
					DataCentreName.of(sum.path(DATA_CENTRE).asText()), sum.path(NODES).asInt(), requests(sum))));
		return sums;
	}

	private static Map<TargetName, Integer> requests(JsonNode body) {
		Map<TargetName, Integer> requests = new HashMap<>();
		body.path(REQUESTS)
			.fields()
			.forEachRemaining((field) -> requests.put(TargetName.of(field.getKey()), field.getValue().asInt()));
		return requests;
	}

	/**
	 * Kinds of messages. Their names are part of the wire format.
	 */
	private enum Kind {

		LOADS(NodeMessage.Loads.class), LOADS_ADDED(NodeMessage.LoadsAdded.class), PLACED(NodeMessage.Placed.class),
		STORE_NEWS(NodeMessage.StoreNews.class), CHANGES_WANTED(NodeMessage.ChangesWanted.class),
		TARGETS_SEEN(NodeMessage.TargetsSeen.class), CONFIGURATION_TOLD(NodeMessage.ConfigurationTold.class),
		CONFIGURATION_WANTED(NodeMessage.ConfigurationWanted.class), INTRODUCTION(NodeMessage.Introduction.class),
		LEASE_GIVEN_UP(NodeMessage.LeaseGivenUp.class), SILENCE(NodeMessage.Silence.class),
		SUSPICION(NodeMessage.Suspicion.class), SILENCE_CONFIRMED(NodeMessage.SilenceConfirmed.class),
		GROUP_ENDED(NodeMessage.GroupEnded.class), TARGET_LIMITED(NodeMessage.TargetLimited.class),
		TARGET_LEAVING(NodeMessage.TargetLeaving.class), CLEARED(NodeMessage.Cleared.class);

		private final Class<? extends NodeMessage> type;

		Kind(Class<? extends NodeMessage> type) {
			this.type = type;
		}

		static Kind of(NodeMessage message) {
			return Arrays.stream(values()).filter((kind) -> kind.type.isInstance(message)).findFirst().orElseThrow();
		}

	}

}
