package sycamorehill.entry;

import java.util.OptionalLong;

/**
 * Numbers of the events that one target has sent in answer to one request. They increase:
 * others belong to a second answer, with which the target goes on within the first.
 */
final class EventNumbers {

	/** Why a stream is broken off whose numbers don't increase. */
	static final String VIOLATION = "the numbers of the events don't increase";

	private OptionalLong last = OptionalLong.empty();

	private boolean complete = true;

	private EventNumbers() {
	}

	static EventNumbers create() {
		return new EventNumbers();
	}

	/**
	 * Returns whether an event may come next.
	 * @param number its number; empty if it has none
	 * @return false if the number is not greater than the last one
	 */
	boolean mayBeNext(OptionalLong number) {
		return number.isEmpty() || this.last.isEmpty() || number.getAsLong() > this.last.getAsLong();
	}

	/**
	 * Adds the next event.
	 * @param number its number; empty if it has none
	 * @return whether it is the first without a number
	 */
	boolean add(OptionalLong number) {
		boolean firstWithout = this.complete && number.isEmpty();
		this.complete &= number.isPresent();
		this.last = number.isPresent() ? number : this.last;
		return firstWithout;
	}

	/**
	 * Returns whether every event had a number, so that the stream can be resumed after
	 * the last one.
	 * @return false if an event had none
	 */
	boolean isComplete() {
		return this.complete;
	}

}
