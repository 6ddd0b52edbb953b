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

	// Most maps are keyed by targets. The methods that a record gets by itself go through
	// method handles, which the client compiler of the JVM does not inline.
	@Override
	public boolean equals(Object other) {
		return other instanceof TargetName name && this.value.equals(name.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
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
