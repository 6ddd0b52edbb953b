package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.model.serving.TokenCounts;

/**
 * What the head of a caller's request says.
 *
 * @param identifier the caller's identifier of this attempt
 * @param apiKey the caller's key
 * @param model the model asked for
 * @param tokenCounts sizes of prompt and answer
 * @param timeLeft how long the caller waits
 * @param resumeAfter the last event that the caller has from an earlier attempt
 */
public record CallerRequestHead(String identifier, Optional<String> apiKey, Optional<String> model,
		Optional<TokenCounts> tokenCounts, Optional<Duration> timeLeft, Optional<String> resumeAfter) {
}
