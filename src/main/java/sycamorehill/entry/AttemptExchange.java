package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The request of an attempt, and the receiver of its answer.
 */
interface AttemptExchange {

	/**
	 * Returns the caller's identifier of the request.
	 * @return the identifier
	 */
	String identifier();

	/**
	 * Returns the head of the request.
	 * @return the head
	 */
	HttpRequest request();

	/**
	 * Returns the body of the request.
	 * @return the body, to be released by the receiver
	 */
	ByteBuf requestBody();

	/**
	 * Returns the time until the caller stops waiting.
	 * @return the time left; empty if it is not limited
	 */
	Optional<Duration> timeLeft();

	/**
	 * Returns the identifier of the last event that the caller received.
	 * @return the identifier; empty if the stream begins anew
	 */
	Optional<String> resumeAfter();

	/**
	 * Returns the version of the weights with which the answer started.
	 * @return the version; empty if it has not started
	 */
	Optional<String> weightsVersion();

	/**
	 * Returns whether the caller has received the head of a stream.
	 * @return true if it has
	 */
	boolean streamStarted();

	/**
	 * Ends all attempts but one, which is about to go on with the answer.
	 * @param attemptNumber number of the attempt that goes on
	 * @return whether another one was running
	 */
	boolean cancelOtherAttempts(int attemptNumber);

	/**
	 * Starts the stream with the head of the first target that sent an event.
	 * @param head the head of the target's answer
	 * @param parsedHead the same head, parsed
	 */
	void startStream(HttpResponse head, TargetResponseHead parsedHead);

	/**
	 * Forwards an event.
	 * @param event the event; it is released
	 * @param eventNumber the number of the event
	 */
	void forwardEvent(ByteBuf event, OptionalLong eventNumber);

	/** Sends the events forwarded so far. */
	void flush();

	/** Ends a complete stream. */
	void endStream();

	/**
	 * Returns the longest pause between two events.
	 * @return the pause
	 */
	Duration maximumPause();

	/**
	 * Returns the complete answer of a target.
	 * @param head the head of the answer
	 * @param body the body of the answer; it is released
	 */
	void deliver(HttpResponse head, ByteBuf body);

	/**
	 * Holds the failure of a target back, because another attempt may follow.
	 * @param head the head of the answer
	 * @param body the body of the answer; it is released
	 */
	void holdFailure(HttpResponse head, ByteBuf body);

}
