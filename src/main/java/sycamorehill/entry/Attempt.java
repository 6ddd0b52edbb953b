package sycamorehill.entry;

/**
 * Attempt to get the answer to a request.
 */
interface Attempt {

	/** Cancels the attempt. The target stops the request when its connection closes. */
	void cancel();

	/**
	 * Returns whether the attempt has ended or was cancelled.
	 * @return true if nothing more of it reaches the caller
	 */
	boolean isEnded();

	/**
	 * Stops or continues reading the answer.
	 * @param paused whether to stop
	 */
	void pause(boolean paused);

}
