package sycamorehill.logic.directory;

import sycamorehill.model.serving.Membership;

/**
 * Identifies a group by its name and epoch. Keys are created and compared for each member
 * at each check, so equality is written out instead of using the method handles of a
 * record's generated methods.
 *
 * @param group the group's name
 * @param epoch the group's epoch
 */
public record GroupKey(String group, long epoch) {

	/**
	 * Creates the key of the group that an engine reports.
	 * @param membership the engine's membership in the group
	 * @return the key
	 */
	public static GroupKey of(Membership membership) {
		return new GroupKey(membership.group(), membership.epoch());
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof GroupKey key && this.epoch == key.epoch && this.group.equals(key.group);
	}

	@Override
	public int hashCode() {
		return 31 * this.group.hashCode() + Long.hashCode(this.epoch);
	}

}
