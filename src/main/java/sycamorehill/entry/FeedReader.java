package sycamorehill.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Follows the objects of one kind: lists all of them, then reads their changes. Lists
 * them again when the store no longer holds the changes or returns an older revision than
 * before.
 *
 * @param <T> the type of an object or change
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
	 * Reads the changes now, even if the reader is paused.
	 */
	void readNow() {
		this.readRequested = true;
		if (this.paused) {
			this.paused = false;
			readNext();
		}
	}

	/**
	 * Resumes reading when no other node forwards store updates any more. Called several
	 * times a second together with the other periodic checks, because each wake-up costs
	 * processor time.
	 */
	void resumeIfNeeded() {
		if (this.paused && !this.pace.get().reliesOnReader()) {
			this.paused = false;
			readNext();
		}
	}

	/**
	 * Advances to a revision whose changes another node forwarded. A list that is still
	 * due stays due, because the forwarded changes don't replace it.
	 * @param knownRevision the revision
	 */
	void advanceRevision(long knownRevision) {
		if (this.revision >= 0) {
			this.revision = Math.max(this.revision, knownRevision);
		}
	}

	private void readNext() {
		boolean listing = this.revision < 0;
		if (!listing && !this.readRequested && this.pace.get().reliesOnReader()) {
			this.paused = true;
			return;
		}
		Duration wait = this.readRequested ? Duration.ZERO : maximumWait();
		this.readRequested = false;
		long since = this.revision;
		callStore(since, wait).whenCompleteAsync((page, failure) -> {
			try {
				handleAnswer(page, failure, since);
			}
			catch (Throwable ex) {
				restart(ex);
			}
		}, this.executor);
	}

	private CompletableFuture<Feed.Page<T>> callStore(long since, Duration wait) {
		try {
			return (since < 0) ? this.feed.list() : this.feed.changes(since, wait);
		}
		catch (Throwable ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void handleAnswer(Feed.Page<T> page, Throwable failure, long since) {
		if (failure != null) {
			handleFailure(failure);
		}
		else if (since != this.revision) {
			skipOutdated(page);
		}
		else {
			handlePage(page, since < 0);
		}
	}

	// What the answer contained may be handled in part. Lists all objects again, because
	// nothing else would start the next read.
	private void restart(Throwable cause) {
		this.revision = -1;
		scheduleNext(MAXIMUM_RETRY_DELAY);
		EventLog.failure((cause instanceof Error) ? LogEvent.ERROR_THROWN : LogEvent.INVARIANT_BROKEN,
				this.name + ": an answer of the store could not be handled", cause);
	}

	// While the call waited, another node forwarded changes that this answer may repeat,
	// and an older state would replace a newer one. Skips the answer and asks again for
	// the changes that are not known yet.
	private void skipOutdated(Feed.Page<T> page) {
		this.storeUnreachable = false;
		this.readRequested |= page.revision() > this.revision;
		readNext();
	}

	// While the store is unreachable, a call that waits would hang on a dead connection
	// long after the store is reachable again. Calls don't wait until one is answered.
	private Duration maximumWait() {
		return this.storeUnreachable ? Duration.ZERO : this.pace.get().maximumWait();
	}

	private void handlePage(Feed.Page<T> page, boolean listing) {
		this.storeUnreachable = false;
		this.retryDelay = INITIAL_RETRY_DELAY;
		long since = this.revision;
		if (!listing && page.revision() < this.revision) {
			EventLog.failure(LogEvent.STORE_CONTACT, this.name + ": the revision of the store decreased from "
					+ this.revision + " to " + page.revision(), null);
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

	// Changes that can't be read would be read again and again. A list doesn't contain
	// them any more.
	private void handleFailure(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof Feed.HistoryGoneException) {
			this.revision = -1;
			scheduleNext(this.pace.get().pauseAfterChange());
			return;
		}
		if (!this.storeUnreachable) {
			EventLog.write(LogLine.of(LogEvent.STORE_CONTACT,
					this.name + ": a call failed since=" + this.revision + " cause='" + cause.getMessage() + "'"));
		}
		if (cause instanceof Feed.UnreadablePageException) {
			this.revision = -1;
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
	 * Determines how often the store is called.
	 *
	 * @param maximumWait the time that a call waits in the store; a dead connection is
	 * detected this much later
	 * @param pauseAfterChange the pause after an answer that contained changes, so that a
	 * series of changes takes few calls
	 * @param reliesOnReader whether another node reads the store for this one
	 */
	record Pace(Duration maximumWait, Duration pauseAfterChange, boolean reliesOnReader) {
	}

	/**
	 * Receives the objects and changes.
	 *
	 * @param <T> the type of an object or change
	 */
	interface Listener<T> {

		/**
		 * Handles a list of all objects.
		 * @param all the objects
		 */
		void handleList(Feed.Page<T> all);

		/**
		 * Handles changes.
		 * @param changes the changes; empty if the store had none
		 * @param since the revision after which they were requested
		 */
		void handleChanges(Feed.Page<T> changes, long since);

		/** Handles a call that the store did not answer. */
		default void handleUnreachable() {
		}

	}

}
