package sycamorehill.engine;

import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.NotSentException;
import sycamorehill.model.request.AttemptResult;

/**
 * Maps the failure of a call to the result of the attempt. Only a request of which no
 * byte was written is certain not to have run.
 */
final class AttemptFailures {

	private AttemptFailures() {
	}

	static AttemptResult toResult(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		Throwable classified = BufferedHttpClient.classifyFailure(cause);
		if (classified instanceof NotSentException) {
			return new AttemptResult.NotSent(classified.getMessage());
		}
		if (classified instanceof TimeoutException) {
			return new AttemptResult.Interrupted(false, "no byte came for too long");
		}
		return new AttemptResult.Interrupted(true, String.valueOf(classified));
	}

}
