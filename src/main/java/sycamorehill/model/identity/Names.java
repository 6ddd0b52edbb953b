package sycamorehill.model.identity;

/**
 * Checks that all names share.
 */
final class Names {

	private static final int LONGEST_NAME = 200;

	private Names() {
	}

	static void requireName(String value) {
		if (value == null || value.isBlank()) {
			throw new IllegalArgumentException("a name must not be blank");
		}
		if (value.length() > LONGEST_NAME) {
			throw new IllegalArgumentException("a name must not be longer than " + LONGEST_NAME + " characters");
		}
	}

}
