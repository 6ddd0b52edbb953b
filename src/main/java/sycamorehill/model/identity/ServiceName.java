package sycamorehill.model.identity;

/**
 * The name of a service that callers request.
 *
 * @param value the text of the name, never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public ServiceName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static ServiceName of(String value) {
		return new ServiceName(value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	// Called for each target of each service. The generated method of a record is slower.
	@Override
	public boolean equals(Object other) {
		return other instanceof ServiceName name && this.value.equals(name.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
