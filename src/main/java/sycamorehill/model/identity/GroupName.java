package sycamorehill.model.identity;

/**
 * The name of one model group (replica): its group set and its index in the set.
 *
 * @param set the set that the group belongs to
 * @param ordinal the index in the set, from 0
 */
public record GroupName(GroupSetName set, int ordinal) implements Comparable<GroupName> {

	/**
	 * Creates a name.
	 * @param set the set that the group belongs to
	 * @param ordinal the index in the set, from 0
	 * @return the name
	 */
	public static GroupName of(GroupSetName set, int ordinal) {
		return new GroupName(set, ordinal);
	}

	/**
	 * Returns the name under which requests are routed to the group.
	 * @return the target's name
	 */
	public TargetName targetName() {
		return TargetName.of(toString());
	}

	@Override
	public int compareTo(GroupName other) {
		int bySet = this.set.compareTo(other.set);
		return (bySet != 0) ? bySet : Integer.compare(this.ordinal, other.ordinal);
	}

	@Override
	public String toString() {
		return this.set + "/" + this.ordinal;
	}

}
