package sycamorehill.http;

import io.netty.util.AsciiString;

/**
 * Characters of names and values of header fields (RFC 9110, section 5).
 */
public final class FieldCharacters {

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final boolean[] TOKEN = new boolean[128];

	static {
		for (int character = 0; character < TOKEN.length; character++) {
			TOKEN[character] = Character.isLetterOrDigit(character) || TOKEN_SYMBOLS.indexOf(character) >= 0;
		}
	}

	private FieldCharacters() {
	}

	/**
	 * Returns whether a name of a field may contain a byte.
	 * @param value the byte
	 * @return whether it is one of a token
	 */
	public static boolean isToken(byte value) {
		return value >= 0 && TOKEN[value];
	}

	/**
	 * Returns whether a value of a field may contain a byte.
	 * @param value the byte
	 * @return false for a control character other than a tab
	 */
	public static boolean isText(byte value) {
		return value < 0 || (value >= ' ' && value != 0x7f) || value == '\t';
	}

	/**
	 * Returns whether a text is the name of a field.
	 * @param name the text
	 * @return false if it is empty or has another character than a token
	 */
	public static boolean isName(String name) {
		return !name.isEmpty() && name.chars().allMatch((character) -> character < TOKEN.length && TOKEN[character]);
	}

	/**
	 * Returns whether a text is the value of a field.
	 * @param value the text
	 * @return false if it has a control character other than a tab
	 */
	public static boolean isValue(String value) {
		return value.chars().allMatch((character) -> isText(AsciiString.c2b((char) character)));
	}

}
