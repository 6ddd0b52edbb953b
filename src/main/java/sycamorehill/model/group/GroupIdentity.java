package sycamorehill.model.group;

import sycamorehill.model.identity.GroupName;

/**
 * One generation of a group. Any change of its members or model starts a new generation.
 *
 * @param name the name of the group
 * @param generation the generation, which grows with each change
 */
public record GroupIdentity(GroupName name, long generation) {

	/**
	 * Creates an identity.
	 * @param name the name of the group
	 * @param generation the generation of the group
	 * @return the identity
	 */
	public static GroupIdentity of(GroupName name, long generation) {
		return new GroupIdentity(name, generation);
	}

}
