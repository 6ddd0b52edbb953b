package sycamorehill.json;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Value in a JSON text whose content is read on demand, so that a part that can't be read
 * doesn't prevent the others from being read. All methods throw an
 * {@link IllegalArgumentException} if the value can't be read in that way.
 */
public final class JsonText {

	private static final int MAXIMUM_FAULT_CHARACTERS = 200;

	/** Maximum number of elements of a list, far above that of any sound page. */
	private static final int MAXIMUM_ELEMENTS = 100_000;

	private final byte[] bytes;

	private final int begin;

	private final int end;

	JsonText(byte[] bytes, int begin, int end) {
		this.bytes = bytes;
		this.begin = begin;
		this.end = end;
	}

	/**
	 * Creates the value that a whole text consists of.
	 * @param bytes the text in UTF-8
	 * @return the value
	 */
	public static JsonText of(byte[] bytes) {
		return new JsonText(bytes, 0, bytes.length);
	}

	/**
	 * Finds the fields of an object.
	 * @return the fields by name; of equal names, the last one counts
	 */
	public Map<String, JsonText> fields() {
		Map<String, JsonText> fields = new HashMap<>();
		collectFields(fields);
		return fields;
	}

	/**
	 * Finds the fields of an object that stand before its first fault, if it has one.
	 * @return the fields by name; of equal names, the last one counts
	 */
	public Map<String, JsonText> fieldsBeforeFault() {
		Map<String, JsonText> fields = new HashMap<>();
		try {
			collectFields(fields);
		}
		catch (IllegalArgumentException ex) {
			// The caller has the fields that were found.
		}
		return fields;
	}

	private void collectFields(Map<String, JsonText> fields) {
		JsonScanner scanner = new JsonScanner(this.bytes, this.begin, this.end);
		scanner.require('{');
		if (!scanner.take('}')) {
			do {
				String name = scanner.takeValue().toFieldName();
				scanner.require(':');
				fields.put(name, scanner.takeValue());
			}
			while (scanner.take(','));
			scanner.require('}');
		}
		scanner.requireEnd();
	}

	/**
	 * Finds the elements of a list.
	 * @return the elements in order
	 */
	public List<JsonText> elements() {
		JsonScanner scanner = new JsonScanner(this.bytes, this.begin, this.end);
		List<JsonText> elements = new ArrayList<>();
		scanner.require('[');
		if (!scanner.take(']')) {
			do {
				if (elements.size() == MAXIMUM_ELEMENTS) {
					throw new IllegalArgumentException("a list has more than " + MAXIMUM_ELEMENTS + " elements");
				}
				elements.add(scanner.takeValue());
			}
			while (scanner.take(','));
			scanner.require(']');
		}
		scanner.requireEnd();
		return elements;
	}

	// A name that can't be read is kept as it stands: it equals none that is looked for.
	private String toFieldName() {
		if (this.bytes[this.begin] != '"') {
			throw new IllegalArgumentException("not JSON at byte " + this.begin + ": expected a field name");
		}
		String written = new String(this.bytes, this.begin + 1, this.end - this.begin - 2, StandardCharsets.UTF_8);
		if (written.indexOf('\\') < 0) {
			return written;
		}
		try {
			return parse(BoundedJson.MAPPER).asText();
		}
		catch (IllegalArgumentException ex) {
			return written;
		}
	}

	/**
	 * Parses the value.
	 * @param mapper the mapper to use, which limits the depth of values
	 * @return the parsed value
	 */
	public JsonNode parse(ObjectMapper mapper) {
		try {
			JsonNode value = mapper.readTree(this.bytes, this.begin, this.end - this.begin);
			if (value == null || value.isMissingNode()) {
				throw new IllegalArgumentException("not JSON: expected a value");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw unreadable(ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw unreadable(ex.getMessage(), ex);
		}
	}

	private static IllegalArgumentException unreadable(String fault, IOException cause) {
		String text = String.valueOf(fault);
		return new IllegalArgumentException(
				"not JSON: " + text.substring(0, Math.min(text.length(), MAXIMUM_FAULT_CHARACTERS)), cause);
	}

}
