package sycamorehill.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.platform.StoredObject;

/**
 * The object API's rules without a transport: versions and conditional updates. Not
 * thread-safe; the caller holds a lock or uses one thread.
 */
public final class ObjectStore {

	private final NavigableMap<ObjectKey, StoredObject> objects = new TreeMap<>(
			Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name));

	private long version;

	private ObjectStore() {
	}

	/**
	 * Creates an empty store.
	 * @return the store
	 */
	public static ObjectStore create() {
		return new ObjectStore();
	}

	/**
	 * Carries a call out. A watch answers at once with what has changed, which may be
	 * nothing: waiting is up to the transport.
	 * @param request the call
	 * @return its answer
	 */
	public PlatformAnswer call(PlatformRequest request) {
		if (request instanceof PlatformRequest.Read read) {
			StoredObject object = this.objects.get(read.key());
			return (object != null) ? new PlatformAnswer.Found(object) : new PlatformAnswer.Missing();
		}
		if (request instanceof PlatformRequest.Create create) {
			return this.objects.containsKey(create.key()) ? new PlatformAnswer.Conflict()
					: write(create.key(), create.value());
		}
		if (request instanceof PlatformRequest.Update update) {
			return hasVersion(update.key(), update.expectedVersion()) ? write(update.key(), update.value())
					: new PlatformAnswer.Conflict();
		}
		if (request instanceof PlatformRequest.Delete delete) {
			return delete(delete);
		}
		if (request instanceof PlatformRequest.ListObjects list) {
			return new PlatformAnswer.Listed(list(list), this.version);
		}
		PlatformRequest.Watch watch = (PlatformRequest.Watch) request;
		return new PlatformAnswer.Listed(changes(watch.kind(), watch.afterVersion()), this.version);
	}

	private PlatformAnswer write(ObjectKey key, PlatformValue value) {
		this.version++;
		this.objects.put(key, new StoredObject(key, this.version, value));
		return new PlatformAnswer.Written(this.version);
	}

	private PlatformAnswer delete(PlatformRequest.Delete delete) {
		if (!hasVersion(delete.key(), delete.expectedVersion())) {
			return new PlatformAnswer.Conflict();
		}
		this.objects.remove(delete.key());
		this.version++;
		return new PlatformAnswer.Written(this.version);
	}

	private boolean hasVersion(ObjectKey key, long expectedVersion) {
		StoredObject object = this.objects.get(key);
		return object != null && object.version() == expectedVersion;
	}

	private List<StoredObject> list(PlatformRequest.ListObjects list) {
		return this.objects.tailMap(ObjectKey.of(list.kind(), list.afterName()), false)
			.values()
			.stream()
			.takeWhile((object) -> object.key().kind() == list.kind())
			.limit(list.limit())
			.toList();
	}

	private List<StoredObject> changes(ObjectKind kind, long afterVersion) {
		List<StoredObject> changes = new ArrayList<>();
		for (StoredObject object : this.objects.values()) {
			if (object.key().kind() == kind && object.version() > afterVersion) {
				changes.add(object);
			}
		}
		changes.sort(Comparator.comparingLong(StoredObject::version));
		return List.copyOf(changes);
	}

}
