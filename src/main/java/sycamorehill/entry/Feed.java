package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Objects of one kind in the store, with their changes.
 *
 * @param <T> the type of an object or change
 */
public interface Feed<T> {

	/**
	 * Lists all objects.
	 * @return the objects
	 */
	CompletableFuture<Page<T>> list();

	/**
	 * Lists all objects from a copy that may be seconds old, which costs the store less.
	 * @return the objects
	 */
	CompletableFuture<Page<T>> listCopy();

	/**
	 * Waits for changes (long poll).
	 * @param since the revision after which to return changes
	 * @param wait the time that the store may wait for a change
	 * @return the changes; completes with a {@link HistoryGoneException} if the store no
	 * longer holds them
	 */
	CompletableFuture<Page<T>> changes(long since, Duration wait);

	/**
	 * Page of objects or changes.
	 *
	 * @param items the objects or changes, in order
	 * @param revision the revision of the store that the reader has reached with them
	 * @param <T> the type of an object or change
	 */
	record Page<T>(List<T> items, long revision) {
	}

	/**
	 * Thrown when the store no longer holds the changes since a revision.
	 */
	final class HistoryGoneException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 */
		public HistoryGoneException() {
			super("the store no longer holds these changes");
		}

	}

	/**
	 * Thrown when the store answered, and no objects can be told apart in its answer.
	 */
	final class UnreadablePageException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 * @param message the fault
		 */
		public UnreadablePageException(String message) {
			super(message);
		}

	}

}
