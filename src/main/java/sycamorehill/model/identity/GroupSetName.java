package sycamorehill.model.identity;

/**
 * The name of a group set: the replicas of one service in one data centre, set by one
 * model group item of a ticket.
 *
 * @param value the text of the name, never blank
 */
public record GroupSetName(String value) implements Comparable<GroupSetName> {

	/**
	 * Checks that the name is neither blank nor too long.
	 */
	public GroupSetName {
		Names.requireName(value);
	}

	/**
	 * Creates a name.
	 * @param value the text of the name, never blank
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
