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

	private static final Duration FIRST_RETRY = Duration.ofMillis(100);

	private static final Duration LONGEST_RETRY = Duration.ofMillis(400);

	private final Supplier<Pace> pace;

	private final String name;

	private final Feed<T> feed;

	private final ScheduledExecutorService control;

	private final Listener<T> listener;

	private boolean lost;

	private boolean wanted;

	private boolean resting;

	private long revision = -1;

	private Duration retry = FIRST_RETRY;

	private FeedReader(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService control,
			Listener<T> listener) {
		this.pace = pace;
		this.name = name;
		this.feed = feed;
		this.control = control;
		this.listener = listener;
	}

	static <T> FeedReader<T> of(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService control,
			Listener<T> listener) {
		return new FeedReader<>(pace, name, feed, control, listener);
	}

	void start() {
		this.control.execute(this::next);
	}

	/**
	 * Reads the changes now, though this node rests.
	 */
	void readNow() {
		this.wanted = true;
		if (this.resting) {
			this.resting = false;
			next();
		}
	}

	/**
	 * Looks whether a node that rests has to read for itself again. Called several times
	 * a second, with all else that is looked at then: each wake-up costs processor time.
	 */
	void look() {
		if (this.resting && !this.pace.get().rests()) {
			this.resting = false;
			next();
		}
	}

	/**
	 * Goes on after a revision that this node was told of. What a list is still due for
	 * was not told: it stays due.
	 * @param known the revision
	 */
	void known(long known) {
		if (this.revision >= 0) {
			this.revision = Math.max(this.revision, known);
		}
	}

	private void next() {
		boolean all = this.revision < 0;
		if (!all && !this.wanted && this.pace.get().rests()) {
			this.resting = true;
			return;
		}
		Duration wait = this.wanted ? Duration.ZERO : longestWait();
		this.wanted = false;
		long since = this.revision;
		(all ? this.feed.list() : this.feed.changes(since, wait)).whenCompleteAsync((page, failure) -> {
			if (failure != null) {
				failed(failure);
			}
			else if (since != this.revision) {
				passOver(page);
			}
			else {
				read(page, all);
			}
		}, this.control);
	}

	// While the call waited, another node told of changes that this answer may repeat: an
	// older state would follow a newer one. What is not known yet is asked for again.
	private void passOver(Feed.Page<T> page) {
		this.lost = false;
		this.wanted |= page.revision() > this.revision;
		next();
	}

	// While the store is away a call that waits would hang on a dead connection long
	// after the store is back: calls are short until one is answered.
	private Duration longestWait() {
		return this.lost ? Duration.ZERO : this.pace.get().longestWait();
	}

	private void read(Feed.Page<T> page, boolean all) {
		this.lost = false;
		this.retry = FIRST_RETRY;
		long since = this.revision;
		if (!all && page.revision() < this.revision) {
			EventLog.failure(LogEvent.STORE_CONTACT,
					this.name + ": the store went back from " + this.revision + " to " + page.revision(), null);
			this.revision = -1;
			later(this.pace.get().afterChange());
			return;
		}
		this.revision = page.revision();
		if (all) {
			this.listener.listed(page);
		}
		else {
			this.listener.changed(page, since);
		}
		later((all || !page.items().isEmpty()) ? this.pace.get().afterChange() : Duration.ZERO);
	}

	private void failed(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof Feed.HistoryGoneException) {
			this.revision = -1;
			later(this.pace.get().afterChange());
			return;
		}
		this.lost = true;
		this.listener.notReached();
		later(this.retry);
		Duration longer = this.retry.multipliedBy(2);
		this.retry = (longer.compareTo(LONGEST_RETRY) > 0) ? LONGEST_RETRY : longer;
	}

	private void later(Duration pause) {
		if (pause.isZero()) {
			next();
		}
		else {
			this.control.schedule(this::next, pause.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * How often the store is called.
	 *
	 * @param longestWait how long a call waits in the store; a connection that went
	 * silent is found out this much later
	 * @param afterChange pause after an answer that brought changes, so that many changes
	 * in a row cost few calls
	 * @param rests whether another node reads for this one
	 */
	record Pace(Duration longestWait, Duration afterChange, boolean rests) {
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
		void listed(Feed.Page<T> all);

		/**
		 * Takes changes.
		 * @param changes the changes; none if the store had none to tell
		 * @param since the revision after which they were asked for
		 */
		void changed(Feed.Page<T> changes, long since);

		/** The store did not answer. */
		default void notReached() {
		}

	}

}
