package sycamorehill.model.group;

import java.util.List;

import sycamorehill.model.identity.VmName;

/**
 * An order to the engine on one VM.
 */
public sealed interface EngineCommand {

	/**
	 * The fencing number of the controller that gives the order.
	 * @return the number
	 */
	long fencingNumber();

	/**
	 * Joins a group and loads its model.
	 *
	 * @param group the group and generation
	 * @param members all members, the head first
	 * @param model the model
	 * @param modelVersion its version
	 * @param fencingNumber fencing number of the controller
	 */
	record Join(GroupIdentity group, List<VmName> members, String model, String modelVersion,
			long fencingNumber) implements EngineCommand {
	}

	/**
	 * Leaves a group; an engine that is not in exactly this group does nothing.
	 *
	 * @param group the group and generation
	 * @param fencingNumber fencing number of the controller
	 */
	record Leave(GroupIdentity group, long fencingNumber) implements EngineCommand {
	}

}
