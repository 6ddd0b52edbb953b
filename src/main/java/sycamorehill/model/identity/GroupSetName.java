package sycamorehill.model.identity;

/**
 * Name of a model group item in a ticket: replicas of one service in one data centre.
 *
 * @param value the text of the name, never blank
 */
public record GroupSetName(String value) implements Comparable<GroupSetName> {

	/**
	 * Refuses a blank name.
	 */
	public GroupSetName {
		Names.requireName(value);
	}

	/**
	 * Creates the name.
	 * @param value the text, never blank
	 * @return the name
	 */
	public static GroupSetName of(String value) {
		return new GroupSetName(value);
	}

	@Override
	public int compareTo(GroupSetName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
