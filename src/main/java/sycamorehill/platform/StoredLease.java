package sycamorehill.platform;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

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
		return leaseAnswer(this.store.get(PATH + '?' + StoreClient.STALE_READ_ALLOWED), this::answerToRead);
	}

	@Override
	public CompletableFuture<LeaseAnswer> create(String holder) {
		LeaseWrite write = LeaseWrite.creating(holder);
		ObjectNode body = this.store.json().createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL);
		body.set("spec", write.encode(this.store.json()));
		return leaseAnswer(this.store.post(DUTIES, body), (answer) -> answerToWrite(answer, write));
	}

	/**
	 * The store keeps an object's revision if a write changes nothing. Each write
	 * therefore stores the previous revision as the number of the renewal.
	 */
	@Override
	public CompletableFuture<LeaseAnswer> replace(Lease lease) {
		LeaseWrite write = LeaseWrite.replacing(lease);
		ObjectNode body = this.store.json().createObjectNode();
		body.putObject("metadata").put("name", GROUP_CONTROL).put("rev", lease.revision());
		body.set("spec", write.encode(this.store.json()));
		return leaseAnswer(this.store.put(PATH, body), (answer) -> answerToWrite(answer, write));
	}

	private static CompletableFuture<LeaseAnswer> leaseAnswer(CompletableFuture<CallAnswer> call,
			Function<CallAnswer, LeaseAnswer> decoder) {
		return call.thenApply(decoder)
			.exceptionally((failure) -> new LeaseAnswer.Unavailable(String.valueOf(failure.getMessage())));
	}

	private LeaseAnswer answerToRead(CallAnswer answer) {
		return switch (answer.status()) {
			case StoreClient.OK -> new LeaseAnswer.Present(decode(leaseObject(answer)), false);
			case StoreClient.NOT_FOUND -> new LeaseAnswer.Absent();
			default -> unavailable(answer);
		};
	}

	// The answers of the store don't name their calls. One that can't be that of this
	// write leaves its outcome unknown.
	private LeaseAnswer answerToWrite(CallAnswer answer, LeaseWrite write) {
		return switch (answer.status()) {
			case StoreClient.OK, StoreClient.CREATED -> {
				StoredObject object = leaseObject(answer);
				yield write.isIn(object.spec()) ? new LeaseAnswer.Present(decode(object), true)
						: new LeaseAnswer.Unavailable("the answer to another write");
			}
			case StoreClient.CONFLICT -> {
				Lease current = decode(leaseObject(answer));
				yield write.conflictsWith(current) ? new LeaseAnswer.Conflict(current)
						: new LeaseAnswer.Unavailable("a conflict with revision " + current.revision());
			}
			case StoreClient.NOT_FOUND -> new LeaseAnswer.Absent();
			default -> unavailable(answer);
		};
	}

	private static LeaseAnswer unavailable(CallAnswer answer) {
		return new LeaseAnswer.Unavailable("status " + answer.status());
	}

	private StoredObject leaseObject(CallAnswer answer) {
		Map<String, JsonText> body = JsonText.of(answer.body()).fields();
		return StoredObject.of(body.getOrDefault("object", JsonText.of(answer.body())), false, this.store.json());
	}

	// Each write of the lease raises the revision by one or more, and the term by one at
	// most. A lease that can't be read therefore had no higher term than its revision,
	// and the next holder's term is higher than any before.
	private Lease decode(StoredObject object) {
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
		int recentTerms = spec.hasNonNull(LeaseWrite.RECENT_TERMS) ? (int) JsonFields.wholeNumber(spec,
				LeaseWrite.RECENT_TERMS, 0, Math.min(revision, Integer.MAX_VALUE - 1)) : 0;
		return new Lease(JsonFields.optionalName(spec, LeaseWrite.HOLDER).orElse(""),
				JsonFields.wholeNumber(spec, LeaseWrite.TERM, 0, revision), revision, recentTerms);
	}

}
