package sycamorehill.model.identity;

/**
 * Name of a target VM, as the platform gives it.
 *
 * @param value the text of the name, never blank
 */
public record VmName(String value) implements Comparable<VmName> {

	/**
	 * Refuses a blank name.
	 */
	public VmName {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
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
