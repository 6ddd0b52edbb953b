package sycamorehill.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.CallClient;
import sycamorehill.entry.Feed;
import sycamorehill.entry.LeaseStore;
import sycamorehill.entry.NodeRegistry;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.runtime.EventLog;

/**
 * Accesses the platform's metadata store, which holds the configuration, the targets, the
 * entry nodes and the lease on the control of groups.
 */
final class PlatformStore implements LeaseStore, NodeRegistry {

	private static final String OBJECTS_PATH = "/-/objects/";

	private static final String CONFIGURATIONS = "config";

	private static final String MAIN_CONFIGURATION = "main";

	private static final String TARGETS = "servers";

	private static final String EVACUATIONS = "evacuations";

	private static final String NODES = "nodes";

	private static final String NODE_ADDRESS = "address";

	private static final String NODE_DATA_CENTRE = "data_centre";

	private static final String NODE_PROXY_ADDRESS = "proxy_address";

	private static final String NODE_PROCESSOR_CORES = "processor";

	private static final String NODE_INCARNATION = "incarnation";

	/**
	 * Allows the store to answer from a copy that may be seconds old, which costs the
	 * store less.
	 */
	private static final String STALE_READ_ALLOWED = "allow_stale=1";

	private static final String DUTIES = "duties";

	private static final String GROUP_CONTROL = "group-control";

	private static final String RECENT_TERMS = "recent_terms";

	/**
	 * Timeout of a call that the store answers without waiting for changes. Even a slow
	 * store answers well within it.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	/** Time allowed for a watch beyond the time for which the store may hold it. */
	private static final Duration WATCH_MARGIN = Duration.ofMillis(600);

	private static final int OK = 200;

	private static final int CREATED = 201;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int GONE = 410;

	private final CallClient client;

	private final TargetAddress store;

	private final ObjectMapper json;

	private PlatformStore(CallClient client, Address address, ObjectMapper json) {
		this.client = client;
		this.store = new TargetAddress(TargetName.of("store"), address);
		this.json = json;
	}

	static PlatformStore of(CallClient client, Address address, ObjectMapper json) {
		return new PlatformStore(client, address, json);
	}

	Feed<StoredConfiguration> configurations() {
		return new ObjectFeed<>(CONFIGURATIONS, this::decodeConfiguration);
	}

	Feed<TargetChange> targets() {
		return new ObjectFeed<>(TARGETS, PlatformStore::decodeTarget);
	}

	Feed<EvacuationChange> evacuations() {
		return new ObjectFeed<>(EVACUATIONS, PlatformStore::decodeEvacuation);
	}

	@Override
	public CompletableFuture<List<NodeRecord>> list(boolean current) {
		Feed<NodeRecord> nodes = new ObjectFeed<>(NODES, PlatformStore::decodeNode);
		return (current ? nodes.list() : nodes.listCopy()).thenApply(Feed.Page::items);
	}

	private static Optional<NodeRecord> decodeNode(StoredObject object) {
		try {
			JsonNode spec = object.spec();
			return Optional.of(new NodeRecord(object.name(), Address.parse(JsonFields.text(spec, NODE_ADDRESS)),
					DataCentreName.of(JsonFields.text(spec, NODE_DATA_CENTRE)),
					spec.path(NODE_PROCESSOR_CORES).asDouble(), proxyAddress(spec)));
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(NODES, object.name(), ex);
			return Optional.empty();
		}
	}

	private static Optional<Address> proxyAddress(JsonNode spec) {
		return spec.has(NODE_PROXY_ADDRESS) ? Optional.of(Address.parse(JsonFields.text(spec, NODE_PROXY_ADDRESS)))
				: Optional.empty();
	}

	@Override
	public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation) {
		byte[] body = toBytes(encodeNode(node, incarnation));
		return call(HttpMethod.POST, NODES, body).thenCompose((created) -> {
			if (created.status() != CONFLICT) {
				requireSuccess(created.status());
				return CompletableFuture.completedFuture(Optional.empty());
			}
			return replaceNode(node.name(), incarnation, body);
		});
	}

	private ObjectNode encodeNode(NodeRecord node, String incarnation) {
		ObjectNode body = this.json.createObjectNode();
		body.putObject("metadata").put("name", node.name());
		ObjectNode spec = body.putObject("spec")
			.put(NODE_ADDRESS, node.address().toString())
			.put(NODE_DATA_CENTRE, node.dataCentre().value())
			.put(NODE_PROCESSOR_CORES, node.processorCores())
			.put(NODE_INCARNATION, incarnation);
		node.proxyAddress().ifPresent((address) -> spec.put(NODE_PROXY_ADDRESS, address.toString()));
		return body;
	}

	// A failed read only costs the knowledge of the earlier life.
	private CompletableFuture<Optional<EarlierEntry>> replaceNode(String name, String incarnation, byte[] body) {
		String path = NODES + '/' + name;
		CompletableFuture<Optional<EarlierEntry>> earlier = call(HttpMethod.GET, path, new byte[0])
			.thenApply((answer) -> (answer.status() == OK) ? decodeEarlierEntry(parseBody(answer), incarnation)
					: Optional.<EarlierEntry>empty())
			.exceptionally((failure) -> {
				EventLog.write(LogLine.of(LogEvent.STORE_CONTACT,
						"reading this node's earlier entry failed: " + failure.getMessage()));
				return Optional.empty();
			});
		return earlier.thenCompose((entry) -> call(HttpMethod.PUT, path, body).thenApply((replaced) -> {
			requireSuccess(replaced.status());
			return entry;
		}));
	}

	// The entry bears this life's own incarnation if the answer to the first attempt to
	// register was lost.
	private static Optional<EarlierEntry> decodeEarlierEntry(JsonNode object, String incarnation) {
		Optional<String> registered = JsonFields.optionalText(object.path("spec"), NODE_INCARNATION);
		if (registered.equals(Optional.of(incarnation))) {
			return Optional.empty();
		}
		return Optional.of(new EarlierEntry(registered, object.path("metadata").path("rev").asLong()));
	}

	@Override
	public CompletableFuture<Void> deregister(String name) {
		return call(HttpMethod.DELETE, NODES + '/' + name, new byte[0])
			.thenAccept((answer) -> requireSuccess(answer.status()));
	}

	private CompletableFuture<CallAnswer> call(HttpMethod method, String path, byte[] body) {
		return this.client.call(CallClient.Call.of(this.store, method, OBJECTS_PATH + path, body), null, CALL_TIMEOUT);
	}

	private static void requireSuccess(int status) {
		if (status != OK && status != CREATED && status != NOT_FOUND) {
			throw new CompletionException(new IOException("the store answered " + status));
		}
	}

	private Optional<StoredConfiguration> decodeConfiguration(StoredObject object) {
		if (object.deleted() || !object.name().equals(MAIN_CONFIGURATION)) {
			return Optional.empty();
		}
		try {
			return Optional
				.of(new StoredConfiguration(ConfigurationDecoder.decode(object.spec()), object.spec().toString()));
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(CONFIGURATIONS, object.name(), ex);
			return Optional.empty();
		}
	}

	/**
	 * Decodes a configuration.
	 * @param text the configuration as JSON text
	 * @return the configuration
	 * @throws IllegalArgumentException if the text is no valid configuration
	 */
	StoredConfiguration decodeConfiguration(String text) {
		try {
			return new StoredConfiguration(ConfigurationDecoder.decode(this.json.readTree(text)), text);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the text of a configuration is no JSON: " + ex.getMessage(), ex);
		}
	}

	// An unreadable entry is treated like a deleted one: its target receives no requests.
	private static Optional<TargetChange> decodeTarget(StoredObject object) {
		TargetName name = TargetName.of(object.name());
		if (object.deleted()) {
			return Optional.of(new TargetChange(name, Optional.empty()));
		}
		try {
			TargetEntry entry = TargetDecoder.decodeEntry(object.name(), object.spec());
			return Optional.of(new TargetChange(name, Optional.of(entry)));
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(TARGETS, object.name(), ex);
			return Optional.of(new TargetChange(name, Optional.empty()));
		}
	}

	// Only the name and the presence of the object matter; its content isn't read.
	private static Optional<EvacuationChange> decodeEvacuation(StoredObject object) {
		try {
			return Optional.of(new EvacuationChange(DataCentreName.of(object.name()), !object.deleted()));
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(EVACUATIONS, object.name(), ex);
			return Optional.empty();
		}
	}

	private static void logUnreadable(String kind, String name, RuntimeException failure) {
		EventLog.write(LogLine.of(LogEvent.STORE_CONTENT_UNREADABLE,
				"kind=" + kind + " name=" + name + " cause='" + failure.getMessage() + "'"));
	}

	@Override
	public CompletableFuture<LeaseAnswer> read() {
		return callForLease(CallClient.Call.get(this.store, leasePath() + '?' + STALE_READ_ALLOWED), false);
	}

	@Override
	public CompletableFuture<LeaseAnswer> create(String holder) {
		ObjectNode body = this.json.createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL);
		body.putObject("spec").put("holder", holder).put("term", 1).put("renewal", 0).put(RECENT_TERMS, 0);
		return callForLease(CallClient.Call.of(this.store, HttpMethod.POST, OBJECTS_PATH + DUTIES, toBytes(body)),
				true);
	}

	/**
	 * The store keeps an object's revision if a write changes nothing. Each write
	 * therefore stores the previous revision as the number of the renewal.
	 */
	@Override
	public CompletableFuture<LeaseAnswer> replace(Lease lease) {
		ObjectNode body = this.json.createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL).put("rev", lease.revision());
		body.putObject("spec")
			.put("holder", lease.holder())
			.put("term", lease.term())
			.put("renewal", lease.revision())
			.put(RECENT_TERMS, lease.recentTerms());
		return callForLease(CallClient.Call.of(this.store, HttpMethod.PUT, leasePath(), toBytes(body)), true);
	}

	private static String leasePath() {
		return OBJECTS_PATH + DUTIES + '/' + GROUP_CONTROL;
	}

	private CompletableFuture<LeaseAnswer> callForLease(CallClient.Call call, boolean write) {
		return this.client.call(call, null, CALL_TIMEOUT)
			.thenApply((answer) -> leaseAnswer(answer, write))
			.exceptionally((failure) -> new LeaseAnswer.Unavailable(String.valueOf(failure.getMessage())));
	}

	private LeaseAnswer leaseAnswer(CallAnswer answer, boolean write) {
		return switch (answer.status()) {
			case OK, CREATED -> new LeaseAnswer.Present(decodeLease(parseBody(answer)), write);
			case CONFLICT -> new LeaseAnswer.Conflict(decodeLease(parseBody(answer)));
			case NOT_FOUND -> new LeaseAnswer.Absent();
			default -> new LeaseAnswer.Unavailable("status " + answer.status());
		};
	}

	private static Lease decodeLease(JsonNode answer) {
		JsonNode object = answer.path("object").isObject() ? answer.path("object") : answer;
		JsonNode spec = object.path("spec");
		return new Lease(JsonFields.optionalText(spec, "holder").orElse(""), JsonFields.wholeNumber(spec, "term"),
				JsonFields.wholeNumber(object.path("metadata"), "rev"), spec.path(RECENT_TERMS).asInt());
	}

	private JsonNode parseBody(CallAnswer answer) {
		try {
			return this.json.readTree(answer.body());
		}
		catch (IOException ex) {
			throw new CompletionException(ex);
		}
	}

	private byte[] toBytes(JsonNode body) {
		return body.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Represents an object of the store or its deletion.
	 *
	 * @param name the object's name
	 * @param spec the object's content
	 * @param deleted whether the object was deleted
	 */
	private record StoredObject(String name, JsonNode spec, boolean deleted) {

		static StoredObject of(JsonNode object, boolean deleted) {
			return new StoredObject(JsonFields.text(object.path("metadata"), "name"), object.path("spec"), deleted);
		}

	}

	/**
	 * Reads the objects of one kind and their changes.
	 *
	 * @param <T> type to which an object is decoded
	 */
	private final class ObjectFeed<T> implements Feed<T> {

		private final String kind;

		private final Function<StoredObject, Optional<T>> decoder;

		ObjectFeed(String kind, Function<StoredObject, Optional<T>> decoder) {
			this.kind = kind;
			this.decoder = decoder;
		}

		@Override
		public CompletableFuture<Page<T>> list() {
			return listPages("");
		}

		@Override
		public CompletableFuture<Page<T>> listCopy() {
			return listPages(STALE_READ_ALLOWED);
		}

		private CompletableFuture<Page<T>> listPages(String option) {
			return listPages(new ArrayList<>(), option, "", -1);
		}

		// The list has the revision of its first page. A later watch from there repeats
		// the changes that were made while the other pages were read.
		private CompletableFuture<Page<T>> listPages(List<T> items, String option, String after, long listRevision) {
			String query = Stream.of(option, after)
				.filter((parameter) -> !parameter.isEmpty())
				.collect(Collectors.joining("&"));
			return call(query.isEmpty() ? "" : '?' + query, CALL_TIMEOUT).thenCompose((page) -> {
				String lastName = "";
				for (JsonNode object : JsonFields.list(page, "items")) {
					decode(object, false).ifPresent(items::add);
					lastName = object.path("metadata").path("name").asText();
				}
				long revision = (listRevision < 0) ? JsonFields.wholeNumber(page, "at") : listRevision;
				if (!JsonFields.flag(page, "has_more") || lastName.isEmpty()) {
					return CompletableFuture.completedFuture(new Page<>(items, revision));
				}
				return listPages(items, option, "after=" + URLEncoder.encode(lastName, StandardCharsets.UTF_8),
						revision);
			});
		}

		@Override
		public CompletableFuture<Page<T>> changes(long since, Duration wait) {
			String query = "?watch=" + since + "&wait_ms=" + wait.toMillis();
			return call(query, wait.plus(WATCH_MARGIN)).thenApply((page) -> {
				List<T> items = new ArrayList<>();
				for (JsonNode event : JsonFields.list(page, "events")) {
					decode(event.path("object"), JsonFields.flag(event, "deleted")).ifPresent(items::add);
				}
				return new Page<>(items, JsonFields.wholeNumber(page, "at"));
			});
		}

		private Optional<T> decode(JsonNode object, boolean deleted) {
			try {
				return this.decoder.apply(StoredObject.of(object, deleted));
			}
			catch (IllegalArgumentException ex) {
				logUnreadable(this.kind, "without a name", ex);
				return Optional.empty();
			}
		}

		private CompletableFuture<JsonNode> call(String query, Duration timeout) {
			CallClient.Call call = CallClient.Call.get(PlatformStore.this.store, OBJECTS_PATH + this.kind + query);
			return PlatformStore.this.client.call(call, null, timeout).thenApply((answer) -> {
				if (answer.status() == GONE) {
					throw new CompletionException(new HistoryGoneException());
				}
				if (answer.status() != OK) {
					throw new CompletionException(new IOException("the store answered " + answer.status()));
				}
				return parseBody(answer);
			});
		}

	}

}
