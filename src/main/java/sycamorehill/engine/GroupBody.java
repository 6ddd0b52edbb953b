package sycamorehill.engine;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;

/**
 * A group on the wire.
 *
 * @param set the set
 * @param ordinal place in the set
 * @param generation the generation
 */
record GroupBody(String set, int ordinal, long generation) {

	static GroupBody of(GroupIdentity group) {
		return new GroupBody(group.name().set().value(), group.name().ordinal(), group.generation());
	}

	GroupIdentity identity() {
		return GroupIdentity.of(GroupName.of(GroupSetName.of(this.set), this.ordinal), this.generation);
	}

}
