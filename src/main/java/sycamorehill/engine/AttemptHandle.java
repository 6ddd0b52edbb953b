package sycamorehill.engine;

/**
 * Cancels a running attempt.
 */
@FunctionalInterface
public interface AttemptHandle {

	/**
	 * Closes the stream without reporting its end to the listener, and asks the target to
	 * cancel the request. Whether the target does so is not checked.
	 */
	void cancel();

}
