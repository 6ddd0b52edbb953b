package sycamorehill.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One call's answer.
 *
 * @param outcome how it looked to the caller
 * @param status the HTTP status, 0 if none came
 * @param text the content, of a completion or of a plain service
 * @param firstToken time from the planned start to the first token
 * @param gaps times between tokens
 * @param detail what a refusal said
 */
public record CallResult(CallOutcome outcome, int status, String text, Optional<Duration> firstToken,
		List<Duration> gaps, String detail) {

}
