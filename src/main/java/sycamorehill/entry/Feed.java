package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Objects of one kind in the store, and their changes.
 *
 * @param <T> what is told of an object
 */
public interface Feed<T> {

	/**
	 * Reads all objects.
	 * @return the objects
	 */
	CompletableFuture<Page<T>> list();

	/**
	 * Reads all objects from a copy that may be seconds old, which costs the store less.
	 * @return the objects
	 */
	CompletableFuture<Page<T>> listCopy();

	/**
	 * Waits for changes.
	 * @param since revision after which changes are wanted
	 * @param wait how long the store may wait for one
	 * @return the changes; a {@link HistoryGoneException} if the store doesn't know them
	 * any more
	 */
	CompletableFuture<Page<T>> changes(long since, Duration wait);

	/**
	 * Some objects or changes.
	 *
	 * @param items the objects or changes in their order
	 * @param revision the store's revision that they bring the reader to
	 * @param <T> what is told of an object
	 */
	record Page<T>(List<T> items, long revision) {
	}

	/**
	 * The store has forgotten the changes since a revision.
	 */
	final class HistoryGoneException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 */
		public HistoryGoneException() {
			super("the store has forgotten these changes");
		}

	}

}
