package sycamorehill.gateway;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A whole chat completion.
 *
 * @param id identifies the completion
 * @param object the kind of body
 * @param created wall clock of the start in seconds
 * @param model the service that answered
 * @param choices one choice
 * @param usage tokens
 */
record ChatCompletion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {

	static ChatCompletion of(String id, long created, String model, String content, Usage usage) {
		return new ChatCompletion(id, "chat.completion", created, model,
				List.of(new Choice(0, new ChatMessage("assistant", content), "stop")), usage);
	}

	/**
	 * One answer to the chat.
	 *
	 * @param index its place
	 * @param message what was generated
	 * @param finishReason why it ended
	 */
	record Choice(int index, ChatMessage message, @JsonProperty("finish_reason") String finishReason) {

	}

	/**
	 * Tokens of the call.
	 *
	 * @param promptTokens estimated tokens of the prompt
	 * @param completionTokens generated tokens
	 * @param totalTokens both together
	 */
	record Usage(@JsonProperty("prompt_tokens") int promptTokens,
			@JsonProperty("completion_tokens") int completionTokens, @JsonProperty("total_tokens") int totalTokens) {

		static Usage of(int prompt, int completion) {
			return new Usage(prompt, completion, prompt + completion);
		}

	}

}
