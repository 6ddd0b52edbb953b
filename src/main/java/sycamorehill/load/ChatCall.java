package sycamorehill.load;

import java.time.Duration;

/**
 * A chat completion to ask for.
 *
 * @param key the workspace's key
 * @param service the service asked for
 * @param content what the user says
 * @param maximumTokens tokens to generate
 * @param priority high, normal or low
 * @param timeout by when the answer is to begin
 */
public record ChatCall(String key, String service, String content, int maximumTokens, String priority,
		Duration timeout) {

	/**
	 * The prompt that the engine sees.
	 * @return the prompt
	 */
	public String prompt() {
		return "user: " + this.content;
	}

}
