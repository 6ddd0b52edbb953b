package sycamorehill.entry;

import java.time.Duration;
import java.time.temporal.ChronoUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads numbers of messages between nodes. A field that is missing counts as 0. A number
 * that is out of range, or no number, makes the message invalid: later decisions add such
 * numbers up.
 */
final class MessageNumbers {

	/** Longest time in a message; a longer one counts as this. */
	private static final Duration MAXIMUM_TIME = Duration.ofDays(1);

	private MessageNumbers() {
	}

	static long wholeNumber(JsonNode body, String field) {
		JsonNode value = body.path(field);
		if (value.isMissingNode()) {
			return 0;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new IllegalArgumentException("field '" + field + "' must be a whole number");
		}
		return value.longValue();
	}

	static int count(JsonNode body, String field) {
		return body.has(field) ? count(body.path(field)) : 0;
	}

	static int count(JsonNode value) {
		if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 0) {
			throw new IllegalArgumentException("a count must be a whole number from 0 to " + Integer.MAX_VALUE);
		}
		return value.intValue();
	}

	static double amount(JsonNode value) {
		double amount = value.isMissingNode() ? 0 : value.asDouble(-1);
		if (!Double.isFinite(amount) || amount < 0) {
			throw new IllegalArgumentException("an amount must be 0 or more");
		}
		return amount;
	}

	static Duration milliseconds(JsonNode body, String field) {
		return time(body, field, ChronoUnit.MILLIS);
	}

	static Duration microseconds(JsonNode body, String field) {
		return time(body, field, ChronoUnit.MICROS);
	}

	private static Duration time(JsonNode body, String field, ChronoUnit unit) {
		long maximum = MAXIMUM_TIME.dividedBy(unit.getDuration());
		return Duration.of(Math.min(Math.max(0, wholeNumber(body, field)), maximum), unit);
	}

}
