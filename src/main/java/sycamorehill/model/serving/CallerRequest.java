package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The properties of a caller's request that decide how it is served. The bytes to forward
 * stay with the connection.
 *
 * @param number number of the request within this process
 * @param identifier the caller's identifier of this attempt, for logs
 * @param host host that the caller addresses, in lower case, without a port
 * @param path path without the query
 * @param apiKey API key of the caller
 * @param model requested model
 * @param tokenCounts sizes of the prompt and the answer
 * @param sharedPromptParts identifiers of the parts of its prompt that other requests may
 * have too, in order
 * @param timeLeft how long the caller waits for the answer, from the first byte of the
 * request
 * @param contentHash hash of the method, the host, the path, the caller and the body
 */
public record CallerRequest(long number, String identifier, String host, String path, Optional<String> apiKey,
		Optional<String> model, Optional<TokenCounts> tokenCounts, List<String> sharedPromptParts,
		Optional<Duration> timeLeft, long contentHash) {

	/**
	 * Copies the parts.
	 */
	public CallerRequest {
		sharedPromptParts = List.copyOf(sharedPromptParts);
	}

	/**
	 * Returns the properties that may crash targets.
	 * @return the properties
	 */
	public Set<RequestTrait> traits() {
		return Stream.concat(Stream.of(contentTrait()), this.sharedPromptParts.stream().map(RequestTrait::promptPart))
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the property that only repetitions of this request have.
	 * @return the property
	 */
	public RequestTrait contentTrait() {
		return RequestTrait.content(this.contentHash);
	}

}
