package sycamorehill.runtime;

/**
 * Prepares texts that other processes may have written for the log.
 */
final class LogText {

	/** Maximum length of the detail of a log line; the rest is cut off. */
	static final int MAXIMUM_CHARACTERS = 16 * 1024;

	private static final char LINE_SEPARATOR = 0x2028;

	private static final char PARAGRAPH_SEPARATOR = 0x2029;

	private LogText() {
	}

	/**
	 * Returns a text as part of one line, with control characters as escapes.
	 * @param text the text
	 * @return the text in one line
	 */
	static String oneLine(String text) {
		String cut = (text.length() <= MAXIMUM_CHARACTERS) ? text : text.substring(0, MAXIMUM_CHARACTERS) + "...";
		for (int index = 0; index < cut.length(); index++) {
			if (isControl(cut.charAt(index))) {
				return escaped(cut);
			}
		}
		return cut;
	}

	private static String escaped(String text) {
		StringBuilder escaped = new StringBuilder();
		for (int index = 0; index < text.length(); index++) {
			char character = text.charAt(index);
			escaped.append(isControl(character) ? String.format("\\u%04x", (int) character) : character);
		}
		return escaped.toString();
	}

	private static boolean isControl(char character) {
		return Character.isISOControl(character) || character == LINE_SEPARATOR || character == PARAGRAPH_SEPARATOR;
	}

}
