package sycamorehill.engine;

import sycamorehill.model.request.AttemptResult;

/**
 * Receives the tokens and the result of an attempt, on a traffic thread.
 */
public interface AttemptListener {

	/**
	 * Handles a token of the answer.
	 * @param index the index of the token in the complete answer, from 0
	 * @param token the text of the token
	 */
	void handleToken(int index, String token);

	/**
	 * Handles the end of the attempt.
	 * @param result the result of the attempt
	 */
	void handleEnd(AttemptResult result);

}
