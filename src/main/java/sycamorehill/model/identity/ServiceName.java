package sycamorehill.model.identity;

/**
 * Name of a service that callers ask for.
 *
 * @param value the text of the name, never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Refuses a blank name.
	 */
	public ServiceName {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
	 * @return the name
	 */
	public static ServiceName of(String value) {
		return new ServiceName(value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	// Compared with for each target of each service; a record's own method is slower.
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
