package sycamorehill.model.group;

import sycamorehill.model.identity.GroupName;

/**
 * A group in one generation. Any change of members or model is a new generation.
 *
 * @param name the group
 * @param generation grows with each change
 */
public record GroupIdentity(GroupName name, long generation) {

	/**
	 * Creates the identity.
	 * @param name the group
	 * @param generation the generation
	 * @return the identity
	 */
	public static GroupIdentity of(GroupName name, long generation) {
		return new GroupIdentity(name, generation);
	}

}
