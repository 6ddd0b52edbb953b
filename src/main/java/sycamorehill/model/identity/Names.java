package sycamorehill.model.identity;

/**
 * Validates names.
 */
final class Names {

	private static final int MAXIMUM_NAME_LENGTH = 200;

	private Names() {
	}

	static void requireName(String value) {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("a name must not be blank");
		}
		if (value.length() > MAXIMUM_NAME_LENGTH) {
			throw new IllegalArgumentException("a name must not be longer than " + MAXIMUM_NAME_LENGTH + " characters");
		}
	}

}
