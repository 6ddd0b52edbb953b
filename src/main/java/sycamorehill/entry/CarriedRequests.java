package sycamorehill.entry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Identifiers of the requests that a connection has carried. A target may answer any of
 * them once more.
 */
final class CarriedRequests {

	/** Number of requests after which a second answer to a request is not expected. */
	private static final int MAXIMUM_REMEMBERED = 32;

	/** Hash codes, because a caller may choose identifiers of any length. */
	private final Deque<Integer> hashCodes = new ArrayDeque<>();

	private CarriedRequests() {
	}

	static CarriedRequests create() {
		return new CarriedRequests();
	}

	void add(String identifier) {
		this.hashCodes.addLast(identifier.hashCode());
		if (this.hashCodes.size() > MAXIMUM_REMEMBERED) {
			this.hashCodes.removeFirst();
		}
	}

	/**
	 * Returns whether a request with an identifier may have been carried.
	 * @param identifier the identifier
	 * @return false if none of the last requests had it
	 */
	boolean mayContain(String identifier) {
		return this.hashCodes.contains(identifier.hashCode());
	}

}
