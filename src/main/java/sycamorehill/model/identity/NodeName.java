package sycamorehill.model.identity;

/**
 * Name of a node: one process of ours on one entry VM.
 *
 * @param value the text of the name, never blank
 */
public record NodeName(String value) implements Comparable<NodeName> {

	/**
	 * Refuses a blank name.
	 */
	public NodeName {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
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
