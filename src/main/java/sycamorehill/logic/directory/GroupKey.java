package sycamorehill.logic.directory;

import sycamorehill.model.serving.Membership;

/**
 * Identifies a group among all that ever were. Made for each member at each look, so it
 * compares without the method handles of a record's own methods.
 *
 * @param group the group's name
 * @param epoch the group's epoch
 */
public record GroupKey(String group, long epoch) {

	/**
	 * The group that an engine reports.
	 * @param membership the engine's place in it
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
