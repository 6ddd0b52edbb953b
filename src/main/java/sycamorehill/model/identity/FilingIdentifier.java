package sycamorehill.model.identity;

/**
 * An identifier that the operator chooses for a ticket. It makes filing idempotent:
 * filing again with the same identifier never creates a second ticket.
 *
 * @param value the text of the identifier, never blank
 */
public record FilingIdentifier(String value) implements Comparable<FilingIdentifier> {

	/**
	 * Checks that the identifier is neither blank nor too long.
	 */
	public FilingIdentifier {
		Names.requireName(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, never blank
	 * @return the identifier
	 */
	public static FilingIdentifier of(String value) {
		return new FilingIdentifier(value);
	}

	@Override
	public int compareTo(FilingIdentifier other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
