package sycamorehill.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.Feed;
import sycamorehill.entry.NodeRegistry;
import sycamorehill.json.JsonText;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.runtime.EventLog;

/**
 * Registry of the entry nodes in the store.
 */
final class StoredNodes implements NodeRegistry {

	private static final String NODES = "nodes";

	private static final String ADDRESS = "address";

	private static final String DATA_CENTRE = "data_centre";

	private static final String PROXY_ADDRESS = "proxy_address";

	private static final String PROCESSOR_CORES = "processor";

	private static final String INCARNATION = "incarnation";

	private final StoreClient store;

	private final Feed<NodeRecord> nodes;

	private StoredNodes(StoreClient store, UnreadableObjects unreadable) {
		this.store = store;
		this.nodes = ObjectFeed.of(store, NODES, StoredNodes::decode, unreadable);
	}

	static StoredNodes of(StoreClient store, UnreadableObjects unreadable) {
		return new StoredNodes(store, unreadable);
	}

	@Override
	public CompletableFuture<List<NodeRecord>> list(boolean current) {
		return (current ? this.nodes.list() : this.nodes.listCopy()).thenApply(Feed.Page::items);
	}

	private static Optional<NodeRecord> decode(StoredObject object) {
		JsonNode spec = object.spec();
		double cores = spec.hasNonNull(PROCESSOR_CORES) ? JsonFields.nonNegative(spec, PROCESSOR_CORES) : 0;
		Optional<Address> proxyAddress = spec.has(PROXY_ADDRESS) ? Optional.of(JsonFields.address(spec, PROXY_ADDRESS))
				: Optional.empty();
		return Optional.of(new NodeRecord(object.visibleName(), JsonFields.address(spec, ADDRESS),
				DataCentreName.of(JsonFields.text(spec, DATA_CENTRE)), cores, proxyAddress));
	}

	@Override
	public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation) {
		ObjectNode body = encode(node, incarnation);
		return this.store.post(NODES, body).thenCompose((created) -> {
			if (created.status() != StoreClient.CONFLICT) {
				StoreClient.requireSuccess(created.status());
				return CompletableFuture.completedFuture(Optional.empty());
			}
			return replace(node.name(), incarnation, body);
		});
	}

	private ObjectNode encode(NodeRecord node, String incarnation) {
		ObjectNode body = this.store.json().createObjectNode();
		body.putObject("metadata").put("name", node.name());
		ObjectNode spec = body.putObject("spec")
			.put(ADDRESS, node.address().toString())
			.put(DATA_CENTRE, node.dataCentre().value())
			.put(PROCESSOR_CORES, node.processorCores())
			.put(INCARNATION, incarnation);
		node.proxyAddress().ifPresent((address) -> spec.put(PROXY_ADDRESS, address.toString()));
		return body;
	}

	// A failed read only costs the knowledge of the earlier life.
	private CompletableFuture<Optional<EarlierEntry>> replace(String name, String incarnation, ObjectNode body) {
		String path = NODES + '/' + name;
		CompletableFuture<Optional<EarlierEntry>> earlier = this.store.get(path)
			.thenApply((answer) -> (answer.status() == StoreClient.OK) ? decodeEarlierEntry(answer, incarnation)
					: Optional.<EarlierEntry>empty())
			.exceptionally((failure) -> {
				EventLog.write(LogLine.of(LogEvent.STORE_CONTACT,
						"reading this node's earlier entry failed: " + failure.getMessage()));
				return Optional.empty();
			});
		return earlier.thenCompose((entry) -> this.store.put(path, body).thenApply((replaced) -> {
			StoreClient.requireSuccess(replaced.status());
			return entry;
		}));
	}

	// The entry bears this life's own incarnation if the answer to the first attempt to
	// register was lost.
	private Optional<EarlierEntry> decodeEarlierEntry(CallAnswer answer, String incarnation) {
		StoredObject object = StoredObject.of(JsonText.of(answer.body()), false, this.store.json());
		Optional<String> registered = JsonFields.optionalName(object.spec(), INCARNATION);
		if (registered.equals(Optional.of(incarnation))) {
			return Optional.empty();
		}
		return Optional.of(new EarlierEntry(registered, object.revision()));
	}

	@Override
	public CompletableFuture<Void> deregister(String name) {
		return this.store.delete(NODES + '/' + name)
			.thenAccept((answer) -> StoreClient.requireSuccess(answer.status()));
	}

}
