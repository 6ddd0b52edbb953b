package sycamorehill.model.identity;

/**
 * Name of a fabric domain: VMs that share a fast interconnect.
 *
 * @param value the text of the name, never blank
 */
public record FabricDomain(String value) implements Comparable<FabricDomain> {

	/**
	 * Refuses a blank name.
	 */
	public FabricDomain {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
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
