package sycamorehill.model.identity;

/**
 * The name of a target VM, as assigned by the platform.
 *
 * @param value the text of the name, never blank
 */
public record VmName(String value) implements Comparable<VmName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public VmName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static VmName of(String value) {
		return new VmName(value);
	}

	@Override
	public int compareTo(VmName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
