package sycamorehill.engine;

import java.time.Duration;
import java.util.Optional;

/**
 * One sending of a call to a plain service.
 *
 * @param method the HTTP method
 * @param path path and query behind the service's name
 * @param contentType media type of the body, empty for none
 * @param idempotencyKey the caller's key, empty for none
 * @param body the body, empty for none
 * @param timeout the longest wait for the whole answer
 */
public record PlainCall(String method, String path, Optional<String> contentType, Optional<String> idempotencyKey,
		Optional<String> body, Duration timeout) {

}
