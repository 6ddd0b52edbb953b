package sycamorehill.engine;

import sycamorehill.model.request.Priority;

/**
 * The JSON body of a completion request.
 *
 * @param prompt the prompt
 * @param maximumTokens the maximum number of tokens in the complete answer
 * @param resumeFrom the index of the first token to send
 * @param priority the priority of the request
 */
record CompletionBody(String prompt, int maximumTokens, int resumeFrom, Priority priority) {

	static CompletionBody of(CompletionCall call) {
		return new CompletionBody(call.prompt(), call.maximumTokens(), call.resumeFrom(), call.priority());
	}

}
