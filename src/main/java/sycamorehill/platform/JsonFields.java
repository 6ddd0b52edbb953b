package sycamorehill.platform;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import sycamorehill.entry.NumericAddress;
import sycamorehill.model.identity.Address;

/**
 * Reads fields of the platform's objects. A required field that is missing or has another
 * type, and any number that is out of range, makes the whole object invalid.
 */
final class JsonFields {

	/** Largest whole number that all writers of JSON represent exactly. */
	static final long MAXIMUM_WHOLE_NUMBER = 1L << 53;

	private static final int MAXIMUM_TEXT_CHARACTERS = 4096;

	private static final int MAXIMUM_NAME_CHARACTERS = 200;

	/** Number of characters of a wrong value that an error message shows. */
	private static final int MAXIMUM_SHOWN_CHARACTERS = 60;

	private static final Duration MAXIMUM_TIME = Duration.ofDays(366);

	private JsonFields() {
	}

	static String text(JsonNode node, String field) {
		return text(node, field, MAXIMUM_TEXT_CHARACTERS);
	}

	private static String text(JsonNode node, String field, int maximumCharacters) {
		return checkedText(node.path(field), field, maximumCharacters);
	}

	/**
	 * Reads a name that is an element of a list.
	 * @param element the element
	 * @param field the field that holds the list
	 * @return the name
	 */
	static String nameOf(JsonNode element, String field) {
		return checkedText(element, field, MAXIMUM_NAME_CHARACTERS);
	}

	/**
	 * Reads a text that is an element of a list.
	 * @param element the element
	 * @param field the field that holds the list
	 * @return the text
	 */
	static String elementText(JsonNode element, String field) {
		return checkedText(element, field, MAXIMUM_TEXT_CHARACTERS);
	}

	private static String checkedText(JsonNode value, String field, int maximumCharacters) {
		if (!value.isTextual() || value.textValue().isBlank()) {
			throw invalidField(field, "a text");
		}
		String text = value.textValue();
		if (text.length() > maximumCharacters || text.chars().anyMatch(Character::isISOControl)) {
			throw invalidField(field,
					"a text of at most " + maximumCharacters + " characters without control characters");
		}
		return text;
	}

	static Optional<String> optionalName(JsonNode node, String field) {
		JsonNode value = node.path(field);
		boolean absent = !node.hasNonNull(field) || (value.isTextual() && value.textValue().isEmpty());
		return absent ? Optional.empty() : Optional.of(text(node, field, MAXIMUM_NAME_CHARACTERS));
	}

	static Address address(JsonNode node, String field) {
		String text = text(node, field);
		try {
			return NumericAddress.parse(text);
		}
		catch (IllegalArgumentException ex) {
			throw invalidField(field, "IP:PORT, not '" + abbreviated(text) + "'");
		}
	}

	static double number(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
			throw invalidField(field, "a number");
		}
		return value.doubleValue();
	}

	static double nonNegative(JsonNode node, String field) {
		double value = number(node, field);
		if (value < 0) {
			throw invalidField(field, "0 or more, it must not be negative");
		}
		return value;
	}

	static long wholeNumber(JsonNode node, String field) {
		return wholeNumber(node, field, 0, MAXIMUM_WHOLE_NUMBER);
	}

	static int count(JsonNode node, String field, int minimum) {
		return (int) wholeNumber(node, field, minimum, Integer.MAX_VALUE);
	}

	static long wholeNumber(JsonNode node, String field, long minimum, long maximum) {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber()) {
			throw invalidField(field, "a whole number");
		}
		if (!value.canConvertToLong() || value.longValue() < minimum || value.longValue() > maximum) {
			throw invalidField(field, "a whole number from " + minimum + " to " + maximum);
		}
		return value.longValue();
	}

	static boolean flag(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
			throw invalidField(field, "true or false");
		}
		return value.booleanValue();
	}

	static Duration milliseconds(JsonNode node, String field) {
		return time(node, field, Duration.ofMillis(1));
	}

	static Duration seconds(JsonNode node, String field) {
		return time(node, field, Duration.ofSeconds(1));
	}

	private static Duration time(JsonNode node, String field, Duration unit) {
		double nanos = nonNegative(node, field) * unit.toNanos();
		if (nanos > MAXIMUM_TIME.toNanos()) {
			throw invalidField(field, "at most " + MAXIMUM_TIME);
		}
		return Duration.ofNanos(Math.round(nanos));
	}

	static JsonNode list(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isArray()) {
			throw invalidField(field, "a list");
		}
		return value;
	}

	static String abbreviated(String text) {
		return (text.length() <= MAXIMUM_SHOWN_CHARACTERS) ? text : text.substring(0, MAXIMUM_SHOWN_CHARACTERS) + "...";
	}

	static IllegalArgumentException invalidField(String field, String expected) {
		return new IllegalArgumentException("field '" + field + "' must be " + expected);
	}

}
