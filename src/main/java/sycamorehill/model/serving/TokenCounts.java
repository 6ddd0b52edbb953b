package sycamorehill.model.serving;

/**
 * Token counts of a request to a model.
 *
 * @param promptTokens number of prompt tokens
 * @param maximumAnswerTokens maximum number of answer tokens
 */
public record TokenCounts(int promptTokens, int maximumAnswerTokens) {
}
