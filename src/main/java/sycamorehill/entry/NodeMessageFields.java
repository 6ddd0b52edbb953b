package sycamorehill.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EvacuatedDataCentres;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestRate;

/**
 * Writes and reads the fields of messages between entry nodes, except their kind and
 * their sender.
 */
final class NodeMessageFields {

	private static final String DATA_CENTRE = "data-centre";

	private static final String TARGET = "target";

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

	private static final String RECENT_TERMS = "recent-terms";

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

	private static final String SERVICES = "services";

	private static final String PROXY_ADDRESS = "proxy-address";

	private static final String AGE_MILLIS = "age-millis";

	private static final String EVACUATED = "evacuated";

	private static final String RETURNED = "returned";

	private static final String EVACUATIONS_REVISION = "evacuations-revision";

	private NodeMessageFields() {
	}

	static void write(NodeMessage message, ObjectNode body) throws IOException {
		switch (NodeMessageKind.of(message)) {
			case LOADS -> writeLoads((NodeMessage.Loads) message, body);
			case LOADS_ADDED -> writeSums((NodeMessage.SummedLoads) message, body);
			case PLACED -> writePlaced((NodeMessage.RequestPlaced) message, body);
			case STORE_NEWS -> writeUpdate((NodeMessage.StoreUpdate) message, body);
			case CHANGES_REQUEST -> body.put(SINCE, ((NodeMessage.ChangesRequest) message).since());
			case CONFIGURATION_TOLD -> writeConfiguration((NodeMessage.ConfigurationText) message, body);
			case CONFIGURATION_REQUEST ->
				body.put(CONFIGURATION, ((NodeMessage.ConfigurationRequest) message).version());
			case TARGETS_SEEN ->
				TargetCodec.write(((NodeMessage.TargetsObserved) message).changes(), body.putArray(CHANGES));
			case INTRODUCTION -> writeNode((NodeMessage.Introduction) message, body);
			case INTRODUCTION_CONFIRMED -> {
			}
			case LEASE_GIVEN_UP -> body.put(HOLDER, ((NodeMessage.LeaseReleased) message).holder());
			case SILENCE -> writeTarget(((NodeMessage.Silence) message).target(), body);
			case SILENCE_CONFIRMED -> writeTarget(((NodeMessage.SilenceConfirmed) message).target(), body);
			case SERVICES_UNREACHABLE -> writeServices((NodeMessage.ServicesUnreachable) message, body);
			case GROUP_ENDED -> writeEndedGroup((NodeMessage.GroupEnded) message, body);
			case TARGET_LIMITED -> writeRateLimit((NodeMessage.TargetLimited) message, body);
			case TARGET_LEAVING -> writeLeaving((NodeMessage.TargetLeaving) message, body);
			case TARGET_LOST -> CrashMessageFields.write((NodeMessage.TargetLost) message, body);
			case TRAITS_SOUND -> CrashMessageFields.write(((NodeMessage.TraitsSound) message).traits(),
					((NodeMessage.TraitsSound) message).age(), body);
			case TRAITS_TRIED -> CrashMessageFields.write(((NodeMessage.TraitsTried) message).traits(),
					((NodeMessage.TraitsTried) message).age(), body);
		}
	}

	static NodeMessage read(NodeMessageKind kind, String sender, JsonNode body) throws IOException {
		return switch (kind) {
			case LOADS -> readLoads(sender, body);
			case LOADS_ADDED -> readSums(sender, body);
			case PLACED -> readPlaced(sender, body);
			case STORE_NEWS -> readUpdate(sender, body);
			case CHANGES_REQUEST -> new NodeMessage.ChangesRequest(sender, MessageNumbers.wholeNumber(body, SINCE));
			case CONFIGURATION_TOLD -> readConfiguration(sender, body);
			case CONFIGURATION_REQUEST ->
				new NodeMessage.ConfigurationRequest(sender, MessageNumbers.wholeNumber(body, CONFIGURATION));
			case TARGETS_SEEN -> new NodeMessage.TargetsObserved(sender, TargetCodec.read(body.path(CHANGES)));
			case INTRODUCTION -> readNode(sender, body);
			case INTRODUCTION_CONFIRMED -> new NodeMessage.IntroductionConfirmed(sender);
			case LEASE_GIVEN_UP -> new NodeMessage.LeaseReleased(sender, body.path(HOLDER).asText());
			case SILENCE -> new NodeMessage.Silence(sender, readTarget(body));
			case SILENCE_CONFIRMED -> new NodeMessage.SilenceConfirmed(sender, readTarget(body));
			case SERVICES_UNREACHABLE -> readServices(sender, body);
			case GROUP_ENDED -> readEndedGroup(sender, body);
			case TARGET_LIMITED -> readRateLimit(sender, body);
			case TARGET_LEAVING ->
				new NodeMessage.TargetLeaving(sender, readTarget(body), MessageNumbers.wholeNumber(body, STARTED));
			case TARGET_LOST -> CrashMessageFields.readTargetLost(sender, body);
			case TRAITS_SOUND -> new NodeMessage.TraitsSound(sender, CrashMessageFields.readTraits(body),
					CrashMessageFields.readAge(body));
			case TRAITS_TRIED -> new NodeMessage.TraitsTried(sender, CrashMessageFields.readTraits(body),
					CrashMessageFields.readAge(body));
		};
	}

	private static ObjectNode writeTarget(TargetName target, ObjectNode body) {
		return body.put(TARGET, target.value());
	}

	private static TargetName readTarget(JsonNode body) {
		return TargetName.of(body.path(TARGET).asText());
	}

	private static DataCentreName readDataCentre(JsonNode body) {
		return DataCentreName.of(body.path(DATA_CENTRE).asText());
	}

	private static void writeLoads(NodeMessage.Loads loads, ObjectNode body) {
		body.put(DATA_CENTRE, loads.dataCentre().value()).put(STORE_REACHED, loads.storeReachable());
		writeRequests(loads.requests(), body);
		UseReportFields.write(loads.use(), body);
	}

	private static NodeMessage readLoads(String sender, JsonNode body) {
		return new NodeMessage.Loads(sender, readDataCentre(body), body.path(STORE_REACHED).asBoolean(),
				readRequests(body), UseReportFields.read(body));
	}

	private static void writeSums(NodeMessage.SummedLoads aggregated, ObjectNode body) {
		ArrayNode sums = body.putArray(SUMS);
		for (LoadSum sum : aggregated.sums()) {
			ObjectNode element = sums.addObject();
			element.put(NODE, sum.aggregator()).put(DATA_CENTRE, sum.dataCentre().value()).put(NODES, sum.liveNodes());
			writeRequests(sum.requests(), element);
			UseReportFields.write(sum.use(), element);
		}
	}

	private static NodeMessage readSums(String sender, JsonNode body) {
		List<LoadSum> sums = new ArrayList<>();
		for (JsonNode sum : body.path(SUMS)) {
			sums.add(new LoadSum(sum.path(NODE).asText(), readDataCentre(sum), MessageNumbers.count(sum, NODES),
					readRequests(sum), UseReportFields.read(sum)));
		}
		return new NodeMessage.SummedLoads(sender, sums);
	}

	private static void writeRequests(Map<TargetName, Integer> requests, ObjectNode body) {
		ObjectNode numbers = body.putObject(REQUESTS);
		requests.forEach((target, number) -> numbers.put(target.value(), number));
	}

	private static Map<TargetName, Integer> readRequests(JsonNode body) {
		Map<TargetName, Integer> requests = new HashMap<>();
		body.path(REQUESTS)
			.fields()
			.forEachRemaining(
					(field) -> requests.put(TargetName.of(field.getKey()), MessageNumbers.count(field.getValue())));
		return requests;
	}

	private static void writePlaced(NodeMessage.RequestPlaced placed, ObjectNode body) {
		writeTarget(placed.target(), body).put(READING_MICROS, placed.prefillTime().toNanos() / 1000);
	}

	private static NodeMessage readPlaced(String sender, JsonNode body) {
		return new NodeMessage.RequestPlaced(sender, readTarget(body),
				MessageNumbers.microseconds(body, READING_MICROS));
	}

	private static void writeUpdate(NodeMessage.StoreUpdate update, ObjectNode body) {
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
				.put(LEASE_REVISION, lease.revision())
				.put(RECENT_TERMS, lease.recentTerms()));
		update.evacuations().ifPresent((evacuations) -> writeEvacuations(evacuations, body));
	}

	private static void writeEvacuations(EvacuatedDataCentres evacuations, ObjectNode body) {
		body.put(EVACUATIONS_REVISION, evacuations.revision());
		ArrayNode names = body.putArray(EVACUATED);
		evacuations.sortedNames().forEach((name) -> names.add(name.value()));
		ObjectNode returned = body.putObject(RETURNED);
		evacuations.sortedReturned().forEach((name, revision) -> returned.put(name.value(), revision));
	}

	private static Optional<EvacuatedDataCentres> readEvacuations(JsonNode body) {
		if (!body.has(EVACUATIONS_REVISION)) {
			return Optional.empty();
		}
		Set<DataCentreName> names = new HashSet<>();
		body.path(EVACUATED).forEach((name) -> names.add(DataCentreName.of(name.asText())));
		Map<DataCentreName, Long> returned = new HashMap<>();
		body.path(RETURNED)
			.fields()
			.forEachRemaining((field) -> returned.put(DataCentreName.of(field.getKey()),
					MessageNumbers.wholeNumber(body.path(RETURNED), field.getKey())));
		return Optional
			.of(new EvacuatedDataCentres(names, returned, MessageNumbers.wholeNumber(body, EVACUATIONS_REVISION)));
	}

	private static NodeMessage readUpdate(String sender, JsonNode body) {
		return new NodeMessage.StoreUpdate(sender, readDataCentre(body),
				MessageNumbers.wholeNumber(body, CONFIGURATION),
				MessageNumbers.wholeNumber(body, CONFIGURATION_REVISION),
				MessageNumbers.wholeNumber(body, CHANGED_BEFORE), MessageNumbers.wholeNumber(body, SINCE),
				MessageNumbers.wholeNumber(body, REVISION), TargetCodec.read(body.path(CHANGES)), readLease(body),
				MessageNumbers.milliseconds(body, AGE_MILLIS), readEvacuations(body));
	}

	private static Optional<Lease> readLease(JsonNode body) {
		return body.has(HOLDER)
				? Optional.of(new Lease(body.path(HOLDER).asText(), MessageNumbers.wholeNumber(body, TERM),
						MessageNumbers.wholeNumber(body, LEASE_REVISION), MessageNumbers.count(body, RECENT_TERMS)))
				: Optional.empty();
	}

	private static void writeConfiguration(NodeMessage.ConfigurationText configuration, ObjectNode body)
			throws IOException {
		body.put(CONFIGURATION, configuration.version()).put(TEXT, CompressedText.compress(configuration.text()));
	}

	private static NodeMessage readConfiguration(String sender, JsonNode body) throws IOException {
		return new NodeMessage.ConfigurationText(sender, MessageNumbers.wholeNumber(body, CONFIGURATION),
				CompressedText.decompress(body.path(TEXT).binaryValue()));
	}

	private static void writeNode(NodeMessage.Introduction introduction, ObjectNode body) {
		NodeRecord node = introduction.node();
		body.put(ADDRESS, node.address().toString())
			.put(DATA_CENTRE, node.dataCentre().value())
			.put(PROCESSOR, node.processorCores());
		node.proxyAddress().ifPresent((address) -> body.put(PROXY_ADDRESS, address.toString()));
	}

	private static NodeMessage readNode(String sender, JsonNode body) {
		return new NodeMessage.Introduction(new NodeRecord(sender, NumericAddress.parse(body.path(ADDRESS).asText()),
				readDataCentre(body), MessageNumbers.amount(body.path(PROCESSOR)), body.has(PROXY_ADDRESS)
						? Optional.of(NumericAddress.parse(body.path(PROXY_ADDRESS).asText())) : Optional.empty()));
	}

	private static void writeServices(NodeMessage.ServicesUnreachable unreachable, ObjectNode body) {
		ArrayNode services = body.putArray(SERVICES);
		unreachable.services().forEach((service) -> services.add(service.value()));
	}

	private static NodeMessage readServices(String sender, JsonNode body) {
		Set<ServiceName> services = new HashSet<>();
		body.path(SERVICES).forEach((service) -> services.add(ServiceName.of(service.asText())));
		return new NodeMessage.ServicesUnreachable(sender, services);
	}

	private static void writeEndedGroup(NodeMessage.GroupEnded ended, ObjectNode body) {
		writeTarget(ended.head(), body).put(GROUP, ended.group()).put(EPOCH, ended.epoch());
	}

	private static NodeMessage readEndedGroup(String sender, JsonNode body) {
		return new NodeMessage.GroupEnded(sender, readTarget(body), body.path(GROUP).asText(),
				MessageNumbers.wholeNumber(body, EPOCH));
	}

	private static void writeRateLimit(NodeMessage.TargetLimited limited, ObjectNode body) {
		writeTarget(limited.target(), body);
		limited.limit().ifPresent((limit) -> body.put(PER_SECOND, limit.perSecond()));
	}

	private static NodeMessage readRateLimit(String sender, JsonNode body) {
		Optional<RequestRate> limit = body.has(PER_SECOND)
				? Optional.of(new RequestRate(body.path(PER_SECOND).asDouble())) : Optional.empty();
		return new NodeMessage.TargetLimited(sender, readTarget(body), limit);
	}

	private static void writeLeaving(NodeMessage.TargetLeaving leaving, ObjectNode body) {
		writeTarget(leaving.target(), body).put(STARTED, leaving.startMillis());
	}

}
