package sycamorehill.entry;

/**
 * Attempt to get the answer to a request.
 */
interface Attempt {

	/** Cancels the attempt. The target stops the request when its connection closes. */
	void cancel();

	/**
	 * Stops or continues reading the answer.
	 * @param paused whether to stop
	 */
	void pause(boolean paused);

}
