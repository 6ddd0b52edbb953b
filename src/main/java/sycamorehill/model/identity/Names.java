package sycamorehill.model.identity;

/**
 * Validates names.
 */
final class Names {

	private static final int MAXIMUM_NAME_LENGTH = 200;

	private static final char LINE_SEPARATOR = 0x2028;

	private static final char PARAGRAPH_SEPARATOR = 0x2029;

	private Names() {
	}

	static void requireName(String value) {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("a name must not be blank");
		}
		if (value.length() > MAXIMUM_NAME_LENGTH) {
			throw new IllegalArgumentException("a name must not be longer than " + MAXIMUM_NAME_LENGTH + " characters");
		}
		for (int index = 0; index < value.length(); index++) {
			if (endsLine(value.charAt(index))) {
				throw new IllegalArgumentException("a name must not contain control characters");
			}
		}
	}

	private static boolean endsLine(char character) {
		return Character.isISOControl(character) || character == LINE_SEPARATOR || character == PARAGRAPH_SEPARATOR;
	}

}
