package sycamorehill.model.identity;

/**
 * The name of a target that requests are routed to: a model group or one address of a
 * plain service.
 *
 * @param value the text of the name, never blank
 */
public record TargetName(String value) implements Comparable<TargetName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public TargetName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static TargetName of(String value) {
		return new TargetName(value);
	}

	// Most maps have target names as keys. The methods generated for a record use method
	// handles, which the client compiler (C1) of the JVM does not inline.
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
