package sycamorehill.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.Feed;
import sycamorehill.json.JsonText;

/**
 * Reads the objects of one kind and their changes. An object that can't be read is
 * dropped alone.
 *
 * @param <T> type to which an object is decoded
 */
final class ObjectFeed<T> implements Feed<T> {

	private final StoreClient store;

	private final String kind;

	private final Decoder<T> decoder;

	private final UnreadableObjects unreadable;

	private ObjectFeed(StoreClient store, String kind, Decoder<T> decoder, UnreadableObjects unreadable) {
		this.store = store;
		this.kind = kind;
		this.decoder = decoder;
		this.unreadable = unreadable;
	}

	static <T> ObjectFeed<T> of(StoreClient store, String kind, Decoder<T> decoder, UnreadableObjects unreadable) {
		return new ObjectFeed<>(store, kind, decoder, unreadable);
	}

	@Override
	public CompletableFuture<Page<T>> list() {
		return listPages("");
	}

	@Override
	public CompletableFuture<Page<T>> listCopy() {
		return listPages(StoreClient.STALE_READ_ALLOWED);
	}

	private CompletableFuture<Page<T>> listPages(String option) {
		return listPages(new ArrayList<>(), option, "", -1);
	}

	// The list has the revision of its first page. A later watch from there repeats
	// the changes that were made while the other pages were read.
	private CompletableFuture<Page<T>> listPages(List<T> items, String option, String after, long listRevision) {
		String continuation = after.isEmpty() ? "" : "after=" + URLEncoder.encode(after, StandardCharsets.UTF_8);
		String query = Stream.of(option, continuation)
			.filter((parameter) -> !parameter.isEmpty())
			.collect(Collectors.joining("&"));
		return this.store.get(this.kind + (query.isEmpty() ? "" : '?' + query)).thenCompose((answer) -> {
			ListPage page = readListPage(answer);
			String lastName = after;
			for (JsonText element : page.items()) {
				lastName = decodeElement(element, items).orElse(lastName);
			}
			long revision = (listRevision < 0) ? page.revision() : listRevision;
			if (!page.hasMore()) {
				return CompletableFuture.completedFuture(new Page<>(items, revision));
			}
			if (lastName.equals(after)) {
				throw unreadablePage("no name to continue the list after");
			}
			return listPages(items, option, lastName, revision);
		});
	}

	private Optional<String> decodeElement(JsonText element, List<T> items) {
		Optional<StoredObject> object = readObject(element, false);
		object.flatMap(this::decode).ifPresent(items::add);
		return object.map(StoredObject::name);
	}

	@Override
	public CompletableFuture<Page<T>> changes(long since, Duration wait) {
		String path = this.kind + "?watch=" + since + "&wait_ms=" + wait.toMillis();
		return this.store.watch(path, wait).thenApply((answer) -> {
			ListPage page = readEventPage(answer);
			List<T> items = new ArrayList<>();
			page.items().forEach((event) -> readEvent(event).flatMap(this::decode).ifPresent(items::add));
			return new Page<>(items, page.revision());
		});
	}

	private ListPage readListPage(CallAnswer answer) {
		return readPage(answer, "items");
	}

	private ListPage readEventPage(CallAnswer answer) {
		return readPage(answer, "events");
	}

	private ListPage readPage(CallAnswer answer, String listField) {
		if (answer.status() == StoreClient.GONE) {
			throw new CompletionException(new HistoryGoneException());
		}
		if (answer.status() != StoreClient.OK) {
			throw new CompletionException(new IOException("the store answered " + answer.status()));
		}
		try {
			Map<String, JsonText> fields = JsonText.of(answer.body()).fields();
			return new ListPage(StoredFields.required(fields, listField).elements(),
					StoredFields.revision(fields, this.store.json()),
					StoredFields.flag(fields, "has_more", this.store.json()));
		}
		catch (IllegalArgumentException ex) {
			throw unreadablePage(ex.getMessage());
		}
	}

	private CompletionException unreadablePage(String fault) {
		return new CompletionException(
				new UnreadablePageException("an answer about " + this.kind + " is unreadable: " + fault));
	}

	private Optional<StoredObject> readEvent(JsonText event) {
		try {
			Map<String, JsonText> fields = event.fields();
			return readObject(StoredFields.required(fields, "object"),
					StoredFields.flag(fields, "deleted", this.store.json()));
		}
		catch (IllegalArgumentException ex) {
			this.unreadable.reportNameless(this.kind, ex);
			return Optional.empty();
		}
	}

	private Optional<StoredObject> readObject(JsonText element, boolean deleted) {
		try {
			return Optional.of(StoredObject.of(element, deleted, this.store.json()));
		}
		catch (IllegalArgumentException ex) {
			this.unreadable.reportNameless(this.kind, ex);
			return Optional.empty();
		}
	}

	private Optional<T> decode(StoredObject object) {
		try {
			Optional<T> decoded = this.decoder.decode(object);
			this.unreadable.clear(this.kind, object.name());
			return decoded;
		}
		catch (IllegalArgumentException ex) {
			this.unreadable.report(this.kind, object.name(), ex);
			return this.decoder.replacement(object);
		}
	}

	/**
	 * Decodes objects of one kind.
	 *
	 * @param <T> type to which an object is decoded
	 */
	interface Decoder<T> {

		/**
		 * Decodes an object.
		 * @param object the object
		 * @return the decoded object; empty if it is of no concern
		 * @throws IllegalArgumentException if the object can't be read
		 */
		Optional<T> decode(StoredObject object);

		/**
		 * Returns what stands in for an object that can't be read.
		 * @param object the object
		 * @return the replacement; empty if the object is dropped
		 */
		default Optional<T> replacement(StoredObject object) {
			return Optional.empty();
		}

	}

	/**
	 * Page of objects or events that aren't decoded yet.
	 *
	 * @param items the objects or events
	 * @param revision the revision of the store
	 * @param hasMore whether another page follows
	 */
	private record ListPage(List<JsonText> items, long revision, boolean hasMore) {
	}

}
