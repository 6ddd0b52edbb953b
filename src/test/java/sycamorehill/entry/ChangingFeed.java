package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Feed of objects in a store to which a test adds changes. Each change has a revision of
 * its own.
 *
 * @param <T> the type of an object or change
 */
final class ChangingFeed<T> implements Feed<T> {

	private final List<T> objects;

	private final List<T> changes = new ArrayList<>();

	private CompletableFuture<Void> nextChange = new CompletableFuture<>();

	private ChangingFeed(List<T> objects) {
		this.objects = objects;
	}

	static <T> ChangingFeed<T> of(List<T> objects) {
		return new ChangingFeed<>(List.copyOf(objects));
	}

	/**
	 * Returns the objects that were there at the start.
	 * @return the objects
	 */
	List<T> all() {
		return this.objects;
	}

	void add(List<T> added) {
		CompletableFuture<Void> changed;
		synchronized (this) {
			this.changes.addAll(added);
			changed = this.nextChange;
			this.nextChange = new CompletableFuture<>();
		}
		changed.complete(null);
	}

	/** Makes the read that waits for a change fail. */
	void fail() {
		CompletableFuture<Void> failing;
		synchronized (this) {
			failing = this.nextChange;
			this.nextChange = new CompletableFuture<>();
		}
		failing.completeExceptionally(new IOException("unreadable"));
	}

	@Override
	public CompletableFuture<Page<T>> list() {
		return CompletableFuture.completedFuture(new Page<>(this.objects, 1));
	}

	@Override
	public CompletableFuture<Page<T>> listCopy() {
		return list();
	}

	@Override
	public synchronized CompletableFuture<Page<T>> changes(long since, Duration wait) {
		if (since <= this.changes.size()) {
			return CompletableFuture.completedFuture(changesSince(since));
		}
		return this.nextChange.copy()
			.completeOnTimeout(null, wait.toMillis(), TimeUnit.MILLISECONDS)
			.thenApply((done) -> changesSince(since));
	}

	private synchronized Page<T> changesSince(long since) {
		int revision = this.changes.size() + 1;
		return new Page<>(List.copyOf(this.changes.subList((int) since - 1, revision - 1)), revision);
	}

}
