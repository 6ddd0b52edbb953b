package sycamorehill.model.serving;

/**
 * What a caller tells of a request to a model.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens most tokens of the answer
 */
public record PromptSize(int promptTokens, int answerTokens) {
}
