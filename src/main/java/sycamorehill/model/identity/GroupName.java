package sycamorehill.model.identity;

/**
 * Name of one model group (replica): its set and its place in the set.
 *
 * @param set the set that the group belongs to
 * @param ordinal its place in the set, from 0
 */
public record GroupName(GroupSetName set, int ordinal) implements Comparable<GroupName> {

	/**
	 * Creates the name.
	 * @param set the set
	 * @param ordinal the place in the set, from 0
	 * @return the name
	 */
	public static GroupName of(GroupSetName set, int ordinal) {
		return new GroupName(set, ordinal);
	}

	/**
	 * The name under which requests are routed to the group.
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
