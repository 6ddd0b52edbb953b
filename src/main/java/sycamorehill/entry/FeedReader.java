package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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

	private final Consumer<List<T>> listed;

	private final Consumer<List<T>> changed;

	private final Consumer<Boolean> contact;

	private boolean lost;

	private long revision = -1;

	private Duration retry = FIRST_RETRY;

	private FeedReader(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService control,
			Consumer<List<T>> listed, Consumer<List<T>> changed, Consumer<Boolean> contact) {
		this.pace = pace;
		this.name = name;
		this.feed = feed;
		this.control = control;
		this.listed = listed;
		this.changed = changed;
		this.contact = contact;
	}

	static <T> FeedReader<T> of(Supplier<Pace> pace, String name, Feed<T> feed, ScheduledExecutorService control,
			Consumer<List<T>> listed, Consumer<List<T>> changed, Consumer<Boolean> contact) {
		return new FeedReader<>(pace, name, feed, control, listed, changed, contact);
	}

	void start() {
		this.control.execute(this::next);
	}

	private void next() {
		boolean all = this.revision < 0;
		(all ? this.feed.list() : this.feed.changes(this.revision, longestWait()))
			.whenCompleteAsync((page, failure) -> {
				if (failure != null) {
					failed(failure);
				}
				else {
					read(page, all);
				}
			}, this.control);
	}

	// While the store is away a call that waits would hang on a dead connection long
	// after the store is back: calls are short until one is answered.
	private Duration longestWait() {
		return this.lost ? Duration.ZERO : this.pace.get().longestWait();
	}

	private void read(Feed.Page<T> page, boolean all) {
		this.lost = false;
		this.retry = FIRST_RETRY;
		this.contact.accept(true);
		if (!all && page.revision() < this.revision) {
			EventLog.failure(LogEvent.STORE_CONTACT,
					this.name + ": the store went back from " + this.revision + " to " + page.revision(), null);
			this.revision = -1;
			later(this.pace.get().afterChange());
			return;
		}
		this.revision = page.revision();
		if (all) {
			this.listed.accept(page.items());
		}
		else if (!page.items().isEmpty()) {
			this.changed.accept(page.items());
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
		this.contact.accept(false);
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
	 */
	record Pace(Duration longestWait, Duration afterChange) {
	}

}
