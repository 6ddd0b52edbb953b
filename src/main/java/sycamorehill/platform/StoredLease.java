package sycamorehill.platform;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.LeaseStore;
import sycamorehill.json.JsonText;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;

/**
 * Reads and writes the lease on the control of groups in the store.
 */
final class StoredLease implements LeaseStore {

	/** Holder of a lease whose content can't be read; no process has this name. */
	static final String UNREADABLE_HOLDER = "?";

	private static final String DUTIES = "duties";

	private static final String GROUP_CONTROL = "group-control";

	private static final String PATH = DUTIES + '/' + GROUP_CONTROL;

	private static final String HOLDER = "holder";

	private static final String TERM = "term";

	private static final String RENEWAL = "renewal";

	private static final String RECENT_TERMS = "recent_terms";

	private final StoreClient store;

	private final UnreadableObjects unreadable;

	private StoredLease(StoreClient store, UnreadableObjects unreadable) {
		this.store = store;
		this.unreadable = unreadable;
	}

	static StoredLease of(StoreClient store, UnreadableObjects unreadable) {
		return new StoredLease(store, unreadable);
	}

	@Override
	public CompletableFuture<LeaseAnswer> read() {
		return leaseAnswer(this.store.get(PATH + '?' + StoreClient.STALE_READ_ALLOWED), false);
	}

	@Override
	public CompletableFuture<LeaseAnswer> create(String holder) {
		ObjectNode body = this.store.json().createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL);
		body.putObject("spec").put(HOLDER, holder).put(TERM, 1).put(RENEWAL, 0).put(RECENT_TERMS, 0);
		return leaseAnswer(this.store.post(DUTIES, body), true);
	}

	/**
	 * The store keeps an object's revision if a write changes nothing. Each write
	 * therefore stores the previous revision as the number of the renewal.
	 */
	@Override
	public CompletableFuture<LeaseAnswer> replace(Lease lease) {
		ObjectNode body = this.store.json().createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL).put("rev", lease.revision());
		body.putObject("spec")
			.put(HOLDER, lease.holder())
			.put(TERM, lease.term())
			.put(RENEWAL, lease.revision())
			.put(RECENT_TERMS, lease.recentTerms());
		return leaseAnswer(this.store.put(PATH, body), true);
	}

	private CompletableFuture<LeaseAnswer> leaseAnswer(CompletableFuture<CallAnswer> call, boolean write) {
		return call.thenApply((answer) -> leaseAnswer(answer, write))
			.exceptionally((failure) -> new LeaseAnswer.Unavailable(String.valueOf(failure.getMessage())));
	}

	private LeaseAnswer leaseAnswer(CallAnswer answer, boolean write) {
		return switch (answer.status()) {
			case StoreClient.OK, StoreClient.CREATED -> new LeaseAnswer.Present(decode(answer), write);
			case StoreClient.CONFLICT -> new LeaseAnswer.Conflict(decode(answer));
			case StoreClient.NOT_FOUND -> new LeaseAnswer.Absent();
			default -> new LeaseAnswer.Unavailable("status " + answer.status());
		};
	}

	// Each write of the lease raises the revision by one or more, and the term by one at
	// most. A lease that can't be read therefore had no higher term than its revision,
	// and the next holder's term is higher than any before.
	private Lease decode(CallAnswer answer) {
		Map<String, JsonText> body = JsonText.of(answer.body()).fields();
		StoredObject object = StoredObject.of(body.getOrDefault("object", JsonText.of(answer.body())), false,
				this.store.json());
		long revision = object.revision();
		try {
			Lease lease = decode(object.spec(), revision);
			this.unreadable.clear(DUTIES, GROUP_CONTROL);
			return lease;
		}
		catch (IllegalArgumentException ex) {
			this.unreadable.report(DUTIES, GROUP_CONTROL, ex);
			return new Lease(UNREADABLE_HOLDER, revision, revision);
		}
	}

	private static Lease decode(JsonNode spec, long revision) {
		int recentTerms = spec.hasNonNull(RECENT_TERMS)
				? (int) JsonFields.wholeNumber(spec, RECENT_TERMS, 0, Math.min(revision, Integer.MAX_VALUE - 1)) : 0;
		return new Lease(JsonFields.optionalName(spec, HOLDER).orElse(""),
				JsonFields.wholeNumber(spec, TERM, 0, revision), revision, recentTerms);
	}

}
