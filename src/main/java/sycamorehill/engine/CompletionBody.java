package sycamorehill.engine;

import sycamorehill.model.request.Priority;

/**
 * Body of a completion on the wire.
 *
 * @param prompt the prompt
 * @param maximumTokens most tokens of the whole answer
 * @param resumeFrom index of the first token wanted
 * @param priority urgency
 */
record CompletionBody(String prompt, int maximumTokens, int resumeFrom, Priority priority) {

	static CompletionBody of(CompletionCall call) {
		return new CompletionBody(call.prompt(), call.maximumTokens(), call.resumeFrom(), call.priority());
	}

}
