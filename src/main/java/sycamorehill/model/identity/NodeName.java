package sycamorehill.model.identity;

/**
 * The name of a node, the load balancer process on one entry VM.
 *
 * @param value the text of the name, never blank
 */
public record NodeName(String value) implements Comparable<NodeName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public NodeName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static NodeName of(String value) {
		return new NodeName(value);
	}

	@Override
	public int compareTo(NodeName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
