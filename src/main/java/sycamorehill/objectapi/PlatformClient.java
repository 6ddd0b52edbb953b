package sycamorehill.objectapi;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;

/**
 * The object API.
 */
public interface PlatformClient {

	/**
	 * Makes one call. It is never sent twice.
	 * @param request what is asked
	 * @param timeout after it the answer is not known
	 * @return how it ended; the future itself never fails
	 */
	CompletableFuture<PlatformAnswer> call(PlatformRequest request, Duration timeout);

}
