package sycamorehill.model.identity;

/**
 * Name of a routable target: a model group replica or one address of a plain service.
 *
 * @param value the text of the name, never blank
 */
public record TargetName(String value) implements Comparable<TargetName> {

	/**
	 * Refuses a blank name.
	 */
	public TargetName {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
	 * @return the name
	 */
	public static TargetName of(String value) {
		return new TargetName(value);
	}

	@Override
	public int compareTo(TargetName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
