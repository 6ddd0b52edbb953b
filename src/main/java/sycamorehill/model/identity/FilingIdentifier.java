package sycamorehill.model.identity;

/**
 * Chosen by the filer of a ticket; filing again with it never accepts a second ticket.
 *
 * @param value the text of the name, never blank
 */
public record FilingIdentifier(String value) implements Comparable<FilingIdentifier> {

	/**
	 * Refuses a blank name.
	 */
	public FilingIdentifier {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
	 * @return the name
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
