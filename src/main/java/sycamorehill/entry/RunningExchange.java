package sycamorehill.entry;

import java.time.Duration;

import io.netty.channel.EventLoop;

/**
 * Request without a final answer, of a caller or of another node.
 */
interface RunningExchange extends AttemptExchange {

	/**
	 * Returns the number of the request.
	 * @return the number
	 */
	long number();

	/**
	 * Limits the time of the request.
	 * @param timeout maximum time, counted from the arrival
	 * @param loop the event loop of the node
	 * @param eventSink receives the end of the time
	 */
	void limitTime(Duration timeout, EventLoop loop, EntryEventSink eventSink);

	/**
	 * Returns whether the request has its final answer or was abandoned.
	 * @return true if it has ended
	 */
	boolean isFinished();

	/**
	 * Adds an attempt, beside those that are running.
	 * @param attemptNumber number of the attempt
	 * @param attempt the attempt
	 */
	void addAttempt(int attemptNumber, Attempt attempt);

	/**
	 * Cancels an attempt.
	 * @param attemptNumber number of the attempt
	 */
	void cancelAttempt(int attemptNumber);

}
