package sycamorehill.model.identity;

/**
 * The name of a region, which holds several data centres.
 *
 * @param value the text of the name, never blank
 */
public record RegionName(String value) implements Comparable<RegionName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public RegionName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static RegionName of(String value) {
		return new RegionName(value);
	}

	@Override
	public int compareTo(RegionName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
