package sycamorehill.model.identity;

/**
 * The name of a data centre (zone).
 *
 * @param value the text of the name, never blank
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public DataCentreName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static DataCentreName of(String value) {
		return new DataCentreName(value);
	}

	@Override
	public int compareTo(DataCentreName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
