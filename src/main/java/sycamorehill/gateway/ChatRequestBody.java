package sycamorehill.gateway;

import java.util.List;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A chat completion as callers send it. Fields that are not known are passed over.
 *
 * @param model the service asked for
 * @param messages the chat so far
 * @param maxTokens most tokens to generate
 * @param maxCompletionTokens the newer name of the same bound
 * @param stream whether the answer comes as server-sent events
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequestBody(String model, List<ChatMessage> messages, @JsonProperty("max_tokens") Integer maxTokens,
		@JsonProperty("max_completion_tokens") Integer maxCompletionTokens, boolean stream) {

	private static final int DEFAULT_TOKENS = 256;

	int tokens() {
		if (this.maxCompletionTokens != null) {
			return this.maxCompletionTokens;
		}
		return (this.maxTokens != null) ? this.maxTokens : DEFAULT_TOKENS;
	}

	String prompt() {
		return this.messages.stream()
			.map((message) -> message.role() + ": " + message.content())
			.collect(Collectors.joining("\n"));
	}

}
