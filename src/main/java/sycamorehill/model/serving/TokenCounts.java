package sycamorehill.model.serving;

/**
 * What a caller tells of a request to a model.
 *
 * @param promptTokens tokens of the prompt
 * @param maximumAnswerTokens most tokens of the answer
 */
public record TokenCounts(int promptTokens, int maximumAnswerTokens) {
}
