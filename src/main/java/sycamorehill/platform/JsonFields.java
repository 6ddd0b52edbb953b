package sycamorehill.platform;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads fields of the platform's objects. A required field that is missing or has another
 * type makes the whole object invalid.
 */
final class JsonFields {

	private JsonFields() {
	}

	static String text(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual() || value.textValue().isBlank()) {
			throw invalidField(field, "a text");
		}
		return value.textValue();
	}

	static Optional<String> optionalText(JsonNode node, String field) {
		JsonNode value = node.path(field);
		return value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
	}

	static double number(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isNumber()) {
			throw invalidField(field, "a number");
		}
		return value.doubleValue();
	}

	static long wholeNumber(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber()) {
			throw invalidField(field, "a whole number");
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
		return Duration.ofNanos(Math.round(number(node, field) * 1e6));
	}

	static Duration seconds(JsonNode node, String field) {
		return Duration.ofNanos(Math.round(number(node, field) * 1e9));
	}

	static JsonNode list(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isArray()) {
			throw invalidField(field, "a list");
		}
		return value;
	}

	private static IllegalArgumentException invalidField(String field, String expected) {
		return new IllegalArgumentException("field '" + field + "' must be " + expected);
	}

}
