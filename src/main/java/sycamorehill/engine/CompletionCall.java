package sycamorehill.engine;

import java.time.Duration;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.Priority;

/**
 * A completion request of one attempt to a group.
 *
 * @param attempt the identifier of the attempt
 * @param generation the generation of the group that the request is meant for
 * @param prompt the prompt
 * @param maximumTokens the maximum number of tokens in the complete answer
 * @param resumeFrom the index of the first token to send
 * @param priority the priority of the request
 * @param readTimeout the maximum time to wait for the next data of the answer
 */
public record CompletionCall(AttemptIdentifier attempt, long generation, String prompt, int maximumTokens,
		int resumeFrom, Priority priority, Duration readTimeout) {

}
