package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * What decides how a caller's request is served. The bytes to pass on stay with the
 * connection.
 *
 * @param number this process's number for the request
 * @param identifier the caller's identifier of this attempt, for logs
 * @param host the host that the caller named, in lower case, without a port
 * @param path the path without its query
 * @param apiKey the caller's key
 * @param model the model asked for
 * @param tokenCounts sizes of prompt and answer
 * @param timeLeft how long the caller waits from the request's first byte
 * @param contentHash hash of what would run: method, path and body
 */
public record CallerRequest(long number, String identifier, String host, String path, Optional<String> apiKey,
		Optional<String> model, Optional<TokenCounts> tokenCounts, Optional<Duration> timeLeft, long contentHash) {
}
