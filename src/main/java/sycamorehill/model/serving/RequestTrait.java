package sycamorehill.model.serving;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * A property that several requests may have in common, and that may crash each target
 * that runs one of them.
 *
 * @param kind what the property is
 * @param value distinguishes properties of one kind
 */
public record RequestTrait(Kind kind, String value) {

	/**
	 * Returns the property of having a content.
	 * @param hash hash of the content
	 * @return the property
	 */
	public static RequestTrait content(long hash) {
		return new RequestTrait(Kind.CONTENT, Long.toHexString(hash));
	}

	/**
	 * Returns the property of having a part in the prompt.
	 * @param identifier identifies the part
	 * @return the property
	 */
	public static RequestTrait promptPart(String identifier) {
		return new RequestTrait(Kind.PROMPT_PART, identifier);
	}

	/**
	 * Formats properties for a log line.
	 * @param traits the properties
	 * @return their kinds and values in a fixed order
	 */
	public static String describe(Set<RequestTrait> traits) {
		return traits.stream().map(RequestTrait::toString).sorted().collect(Collectors.joining("+"));
	}

	@Override
	public String toString() {
		return this.kind.label + ":" + this.value;
	}

	/**
	 * Kinds of properties.
	 */
	public enum Kind {

		/** The whole request, as one caller repeats it. */
		CONTENT("content"),

		/** A part of the prompt, which other requests may have too. */
		PROMPT_PART("part");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

	}

}
