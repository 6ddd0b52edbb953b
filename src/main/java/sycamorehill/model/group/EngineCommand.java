package sycamorehill.model.group;

import java.util.List;

import sycamorehill.model.identity.VmName;

/**
 * A command to the engine on one VM.
 */
public sealed interface EngineCommand {

	/**
	 * Returns the fencing number of the controller that sends the command.
	 * @return the fencing number
	 */
	long fencingNumber();

	/**
	 * Tells the engine to join a group and load its model.
	 *
	 * @param group the group and generation
	 * @param members all members, the head first
	 * @param model the model to load
	 * @param modelVersion the version of the model
	 * @param fencingNumber the fencing number of the controller
	 */
	record Join(GroupIdentity group, List<VmName> members, String model, String modelVersion,
			long fencingNumber) implements EngineCommand {
	}

	/**
	 * Tells the engine to leave a group. An engine that is not in exactly this generation
	 * of the group ignores the command.
	 *
	 * @param group the group and generation
	 * @param fencingNumber the fencing number of the controller
	 */
	record Leave(GroupIdentity group, long fencingNumber) implements EngineCommand {
	}

}
