package sycamorehill.model.request;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;

/**
 * What the decisions need to know of a request; its body stays with the traffic threads.
 *
 * @param identifier this call
 * @param keyHash SHA-256 of the workspace key in hex, empty if none was sent
 * @param service the service asked for
 * @param method HTTP method
 * @param path path after the service name
 * @param promptTokens estimated tokens of the prompt
 * @param maximumTokens most tokens to generate
 * @param prefixHashes hash of the prompt up to each block, shortest first
 * @param priority urgency
 * @param deadline monotonic time by which the caller wants the answer begun
 * @param orderKey hash of the idempotency key, if one was sent
 * @param fingerprint hash of the content
 */
public record RequestDescription(RequestIdentifier identifier, String keyHash, ServiceName service, String method,
		String path, int promptTokens, int maximumTokens, List<Long> prefixHashes, Priority priority, Instant deadline,
		Optional<OrderKey> orderKey, Fingerprint fingerprint) {

}
