package sycamorehill.objectapi;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;

/**
 * Calls the platform's object API.
 */
public interface PlatformClient {

	/**
	 * Sends a request at most once; it is never retried.
	 * @param request the request
	 * @param timeout time after which the outcome counts as unknown
	 * @return the outcome; the future never fails, errors are outcomes too
	 */
	CompletableFuture<PlatformAnswer> call(PlatformRequest request, Duration timeout);

}
