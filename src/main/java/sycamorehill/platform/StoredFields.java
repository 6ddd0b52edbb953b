package sycamorehill.platform;

import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.json.JsonText;

/**
 * Reads fields around the objects in answers of the store.
 */
final class StoredFields {

	private static final String REVISION = "at";

	private StoredFields() {
	}

	static JsonText required(Map<String, JsonText> fields, String field) {
		JsonText value = fields.get(field);
		if (value == null) {
			throw new IllegalArgumentException("field '" + field + "' is missing");
		}
		return value;
	}

	static long revision(Map<String, JsonText> fields, ObjectMapper json) {
		return JsonFields.wholeNumber(json.createObjectNode().set(REVISION, required(fields, REVISION).parse(json)),
				REVISION);
	}

	static boolean flag(Map<String, JsonText> fields, String field, ObjectMapper json) {
		JsonText value = fields.get(field);
		return value != null && JsonFields.flag(json.createObjectNode().set(field, value.parse(json)), field);
	}

}
