package sycamorehill.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Creates the mapper for JSON that other systems wrote. Its limits are far above any
 * sound value, and low enough that code which walks through a parsed value recursively
 * never exhausts the stack.
 */
public final class BoundedJson {

	private static final int MAXIMUM_LEVELS = 100;

	private static final int MAXIMUM_NUMBER_CHARACTERS = 1000;

	private static final int MAXIMUM_TEXT_CHARACTERS = 4 * 1024 * 1024;

	static final ObjectMapper MAPPER = create();

	private BoundedJson() {
	}

	/**
	 * Creates a mapper.
	 * @return the mapper
	 */
	public static ObjectMapper create() {
		StreamReadConstraints limits = StreamReadConstraints.builder()
			.maxNestingDepth(MAXIMUM_LEVELS)
			.maxNumberLength(MAXIMUM_NUMBER_CHARACTERS)
			.maxStringLength(MAXIMUM_TEXT_CHARACTERS)
			.build();
		JsonFactory factory = JsonFactory.builder()
			.streamReadConstraints(limits)
			.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
			.build();
		return new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
	}

}
