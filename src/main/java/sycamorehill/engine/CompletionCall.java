package sycamorehill.engine;

import java.time.Duration;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.Priority;

/**
 * One sending of a prompt to a group.
 *
 * @param attempt the attempt
 * @param generation generation of the group that is meant
 * @param prompt the prompt
 * @param maximumTokens most tokens of the whole answer
 * @param resumeFrom index of the first token wanted
 * @param priority urgency
 * @param readTimeout the longest wait for the next byte
 */
public record CompletionCall(AttemptIdentifier attempt, long generation, String prompt, int maximumTokens,
		int resumeFrom, Priority priority, Duration readTimeout) {

}
