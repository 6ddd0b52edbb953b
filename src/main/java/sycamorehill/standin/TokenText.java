package sycamorehill.standin;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The tokens that a stand-in of an engine generates: a function of prompt and index, so
 * that any reader can check that an answer is whole and belongs to its request.
 */
public final class TokenText {

	private TokenText() {
	}

	/**
	 * One token of the answer to a prompt.
	 * @param prompt the prompt
	 * @param index the token's place in the answer, from 0
	 * @return eight hex digits of the prompt's hash, a colon, the index and a space
	 */
	public static String token(String prompt, int index) {
		int hash = (int) Hashing.xxh3_64().hashCharsToLong(prompt);
		return String.format("%08x:%d ", hash, index);
	}

	/**
	 * The whole answer to a prompt.
	 * @param prompt the prompt
	 * @param tokens how many tokens the answer has
	 * @return the text of all tokens
	 */
	public static String answer(String prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < tokens; index++) {
			text.append(token(prompt, index));
		}
		return text.toString();
	}

}
