package sycamorehill.model.identity;

/**
 * The name of a workspace, the tenant that a caller belongs to.
 *
 * @param value the text of the name, never blank
 */
public record WorkspaceName(String value) implements Comparable<WorkspaceName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public WorkspaceName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
	 * @return the name
	 */
	public static WorkspaceName of(String value) {
		return new WorkspaceName(value);
	}

	@Override
	public int compareTo(WorkspaceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
