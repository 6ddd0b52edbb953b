package sycamorehill.engine;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;

/**
 * A group in a JSON body.
 *
 * @param set the name of the group set
 * @param ordinal the number of the group within its set
 * @param generation the generation of the group
 */
record GroupBody(String set, int ordinal, long generation) {

	static GroupBody of(GroupIdentity group) {
		return new GroupBody(group.name().set().value(), group.name().ordinal(), group.generation());
	}

	GroupIdentity identity() {
		return GroupIdentity.of(GroupName.of(GroupSetName.of(this.set), this.ordinal), this.generation);
	}

}
