package sycamorehill.gateway;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One event of a streamed chat completion.
 *
 * @param id identifies the completion
 * @param object the kind of body
 * @param created wall clock of the start in seconds
 * @param model the service that answers
 * @param choices one choice
 */
record ChatChunk(String id, String object, long created, String model, List<Choice> choices) {

	private static final String KIND = "chat.completion.chunk";

	static ChatChunk token(String id, long created, String model, String token) {
		return new ChatChunk(id, KIND, created, model, List.of(new Choice(0, new Delta(token), null)));
	}

	static ChatChunk stop(String id, long created, String model) {
		return new ChatChunk(id, KIND, created, model, List.of(new Choice(0, new Delta(null), "stop")));
	}

	/**
	 * A part of one answer to the chat.
	 *
	 * @param index its place
	 * @param delta what is added
	 * @param finishReason why it ended, null before the end
	 */
	record Choice(int index, Delta delta, @JsonProperty("finish_reason") String finishReason) {

	}

	/**
	 * Text that is added.
	 *
	 * @param content the text, null at the end
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Delta(String content) {

	}

}
