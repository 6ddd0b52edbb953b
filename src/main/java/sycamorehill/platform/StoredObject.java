package sycamorehill.platform;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.json.JsonText;

/**
 * Represents an object of the store or its deletion. Its name can be read even if its
 * content can't.
 */
final class StoredObject {

	private static final String METADATA = "metadata";

	private static final String NAME = "name";

	private static final String SPEC = "spec";

	private final String name;

	private final JsonText object;

	private final boolean deleted;

	private final ObjectMapper json;

	private StoredObject(String name, JsonText object, boolean deleted, ObjectMapper json) {
		this.name = name;
		this.object = object;
		this.deleted = deleted;
		this.json = json;
	}

	/**
	 * Creates an object from an element of a list.
	 * @param object the element
	 * @param deleted whether the object was deleted
	 * @param json the mapper that parses its parts
	 * @return the object
	 * @throws IllegalArgumentException if it has no readable name
	 */
	static StoredObject of(JsonText object, boolean deleted, ObjectMapper json) {
		Map<String, JsonText> metadata = StoredFields.required(object.fieldsBeforeFault(), METADATA)
			.fieldsBeforeFault();
		JsonNode name = StoredFields.required(metadata, NAME).parse(json);
		if (!name.isTextual() || name.textValue().isBlank()) {
			throw JsonFields.invalidField(NAME, "a text");
		}
		return new StoredObject(name.textValue(), object, deleted, json);
	}

	String name() {
		return this.name;
	}

	/**
	 * Returns the name for use in headers and messages.
	 * @return the name
	 * @throws IllegalArgumentException if it has other characters than visible ASCII ones
	 */
	String visibleName() {
		if (!this.name.chars().allMatch((character) -> character > ' ' && character <= '~')) {
			throw JsonFields.invalidField(NAME, "a text of visible ASCII characters");
		}
		return this.name;
	}

	/**
	 * Parses the object's content.
	 * @return the content
	 * @throws IllegalArgumentException if it can't be read
	 */
	JsonNode spec() {
		return StoredFields.required(this.object.fields(), SPEC).parse(this.json);
	}

	/**
	 * Parses the revision of the object's last change.
	 * @return the revision
	 * @throws IllegalArgumentException if it can't be read
	 */
	long revision() {
		return JsonFields.wholeNumber(StoredFields.required(this.object.fields(), METADATA).parse(this.json), "rev");
	}

	boolean deleted() {
		return this.deleted;
	}

}
