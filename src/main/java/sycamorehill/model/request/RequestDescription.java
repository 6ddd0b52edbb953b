package sycamorehill.model.request;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;

/**
 * The properties of a request that admission, routing and retries depend on. The body of
 * the request stays with the traffic threads.
 *
 * @param identifier the identifier of the request
 * @param keyHash the SHA-256 hash of the workspace key in hexadecimal digits, empty if
 * none was sent
 * @param service the requested service
 * @param method the HTTP method
 * @param path the path after the service name
 * @param promptTokens the estimated number of tokens of the prompt
 * @param maximumTokens the maximum number of tokens to generate
 * @param prefixHashes the hashes of the prompt up to the end of each block, shortest
 * prefix first
 * @param priority the priority
 * @param deadline the monotonic time by which the answer must start
 * @param orderKey the order key, if the caller sent an idempotency key
 * @param fingerprint the hash of the content
 */
public record RequestDescription(RequestIdentifier identifier, String keyHash, ServiceName service, String method,
		String path, int promptTokens, int maximumTokens, List<Long> prefixHashes, Priority priority, Instant deadline,
		Optional<OrderKey> orderKey, Fingerprint fingerprint) {

}
