package sycamorehill.model.identity;

/**
 * The name of a fabric domain, a set of VMs that share a fast interconnect.
 *
 * @param value the text of the name, never blank
 */
public record FabricDomain(String value) implements Comparable<FabricDomain> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public FabricDomain {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static FabricDomain of(String value) {
		return new FabricDomain(value);
	}

	@Override
	public int compareTo(FabricDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
