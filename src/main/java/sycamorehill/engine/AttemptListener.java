package sycamorehill.engine;

import sycamorehill.model.request.AttemptResult;

/**
 * Hears what an attempt brings, on a traffic thread.
 */
public interface AttemptListener {

	/**
	 * A token arrived.
	 * @param index its place in the answer, from 0
	 * @param token its text
	 */
	void handleToken(int index, String token);

	/**
	 * The attempt is over.
	 * @param result how it ended
	 */
	void handleEnd(AttemptResult result);

}
