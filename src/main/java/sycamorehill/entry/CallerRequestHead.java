package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.serving.TokenCounts;

/**
 * Parsed head of a caller's request.
 *
 * @param identifier the caller's identifier of this attempt
 * @param apiKey the caller's API key
 * @param model the requested model
 * @param tokenCounts the token counts of the prompt and the answer
 * @param sharedPromptParts identifiers of the parts of the prompt that other requests may
 * have too, in order
 * @param timeLeft the time until the caller stops waiting
 * @param resumeAfter the identifier of the last event that the caller received in an
 * earlier attempt
 */
public record CallerRequestHead(String identifier, Optional<String> apiKey, Optional<String> model,
		Optional<TokenCounts> tokenCounts, List<String> sharedPromptParts, Optional<Duration> timeLeft,
		Optional<String> resumeAfter) {
}
