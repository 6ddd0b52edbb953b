package sycamorehill.entry;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import sycamorehill.model.log.LogEvent;
import sycamorehill.runtime.EventLog;

/**
 * Follows one kind of objects: reads all, then the changes, and all again when the store
 * has forgotten the changes or shows an older state than before.
 *
 * @param <T> what is told of an object
 */
final class FeedReader<T> {

	private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofMillis(400);

	private final Supplier<Pace> pace;

	private final String name;

	private final Feed<T> feed;

	private final ScheduledExecutorService executor;

	private final Listener<T> listener;

	private boolean storeUnreachable;

	private boolean readRequested;

	private boolean paused;

	private long revision = -1;

	private Duration retryDelay = INITIAL_RETRY_DELAY;

	private FeedReader(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService executor,
			Listener<T> listener) {
		this.pace = pace;
		this.name = name;
		this.feed = feed;
		this.executor = executor;
		this.listener = listener;
	}

	static <T> FeedReader<T> of(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService executor,
			Listener<T> listener) {
		return new FeedReader<>(pace, name, feed, executor, listener);
	}

	void start() {
		this.executor.execute(this::readNext);
	}

	/**
	 * Reads the changes now, though this node rests.
	 */
	void readNow() {
		this.readRequested = true;
		if (this.paused) {
			this.paused = false;
			readNext();
		}
	}

	/**
	 * Looks whether a node that rests has to read for itself again. Called several times
	 * a second, with all else that is looked at then: each wake-up costs processor time.
	 */
	void resumeIfNeeded() {
		if (this.paused && !this.pace.get().receivesStoreUpdates()) {
			this.paused = false;
			readNext();
		}
	}

	/**
	 * Goes on after a revision that this node was told of. What a list is still due for
	 * was not told: it stays due.
	 * @param knownRevision the revision
	 */
	void advanceRevision(long knownRevision) {
		if (this.revision >= 0) {
			this.revision = Math.max(this.revision, knownRevision);
		}
	}

	private void readNext() {
		boolean listing = this.revision < 0;
		if (!listing && !this.readRequested && this.pace.get().receivesStoreUpdates()) {
			this.paused = true;
			return;
		}
		Duration wait = this.readRequested ? Duration.ZERO : maximumWait();
		this.readRequested = false;
		long since = this.revision;
		(listing ? this.feed.list() : this.feed.changes(since, wait)).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				handleFailure(failure);
			}
			else if (since != this.revision) {
				skipOutdated(page);
			}
			else {
				handlePage(page, listing);
			}
		}, this.executor);
	}

	// While the call waited, another node told of changes that this answer may repeat: an
	// older state would follow a newer one. What is not known yet is asked for again.
	private void skipOutdated(Feed.Page<T> page) {
		this.storeUnreachable = false;
		this.readRequested |= page.revision() > this.revision;
		readNext();
	}

	// While the store is away a call that waits would hang on a dead connection long
	// after the store is back: calls are short until one is answered.
	private Duration maximumWait() {
		return this.storeUnreachable ? Duration.ZERO : this.pace.get().maximumWait();
	}

	private void handlePage(Feed.Page<T> page, boolean listing) {
		this.storeUnreachable = false;
		this.retryDelay = INITIAL_RETRY_DELAY;
		long since = this.revision;
		if (!listing && page.revision() < this.revision) {
			EventLog.failure(LogEvent.STORE_CONTACT,
					this.name + ": the store went back from " + this.revision + " to " + page.revision(), null);
			this.revision = -1;
			scheduleNext(this.pace.get().pauseAfterChange());
			return;
		}
		this.revision = page.revision();
		if (listing) {
			this.listener.handleList(page);
		}
		else {
			this.listener.handleChanges(page, since);
		}
		scheduleNext((listing || !page.items().isEmpty()) ? this.pace.get().pauseAfterChange() : Duration.ZERO);
	}

	private void handleFailure(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof Feed.HistoryGoneException) {
			this.revision = -1;
			scheduleNext(this.pace.get().pauseAfterChange());
			return;
		}
		this.storeUnreachable = true;
		this.listener.handleUnreachable();
		scheduleNext(this.retryDelay);
		Duration doubled = this.retryDelay.multipliedBy(2);
		this.retryDelay = (doubled.compareTo(MAXIMUM_RETRY_DELAY) > 0) ? MAXIMUM_RETRY_DELAY : doubled;
	}

	private void scheduleNext(Duration pause) {
		if (pause.isZero()) {
			readNext();
		}
		else {
			this.executor.schedule(this::readNext, pause.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * How often the store is called.
	 *
	 * @param maximumWait how long a call waits in the store; a connection that went
	 * silent is found out this much later
	 * @param pauseAfterChange pause after an answer that brought changes, so that many
	 * changes in a row cost few calls
	 * @param receivesStoreUpdates whether another node reads for this one
	 */
	record Pace(Duration maximumWait, Duration pauseAfterChange, boolean receivesStoreUpdates) {
	}

	/**
	 * Takes what is read.
	 *
	 * @param <T> what is told of an object
	 */
	interface Listener<T> {

		/**
		 * Takes all objects.
		 * @param all the objects
		 */
		void handleList(Feed.Page<T> all);

		/**
		 * Takes changes.
		 * @param changes the changes; none if the store had none to tell
		 * @param since the revision after which they were asked for
		 */
		void handleChanges(Feed.Page<T> changes, long since);

		/** The store did not answer. */
		default void handleUnreachable() {
		}

	}

}
