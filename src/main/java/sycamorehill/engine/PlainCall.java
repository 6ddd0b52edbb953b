package sycamorehill.engine;

import java.time.Duration;
import java.util.Optional;

/**
 * A request of one attempt to a plain service.
 *
 * @param method the HTTP method
 * @param path the path and query that follow the name of the service
 * @param contentType the media type of the body, if known
 * @param idempotencyKey the idempotency key of the caller, if any
 * @param body the body, if any
 * @param timeout the maximum time to wait for the complete answer
 */
public record PlainCall(String method, String path, Optional<String> contentType, Optional<String> idempotencyKey,
		Optional<String> body, Duration timeout) {

}
