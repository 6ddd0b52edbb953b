package sycamorehill.model.serving;

import java.util.List;

import sycamorehill.model.identity.TargetName;

/**
 * Command to an engine.
 */
public sealed interface EngineCommand {

	/**
	 * Makes the engine a member of a group and loads the model.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param model the group's model
	 * @param members all members, the head first
	 */
	record Join(String group, long epoch, String model, List<TargetName> members) implements EngineCommand {
	}

	/**
	 * Makes the head of a ready group accept requests.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Open(String group, long epoch) implements EngineCommand {
	}

	/**
	 * Makes the head refuse new requests and finish those that it runs.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Close(String group, long epoch) implements EngineCommand {
	}

	/**
	 * Makes the engine leave its group immediately.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Leave(String group, long epoch) implements EngineCommand {
	}

	/**
	 * Loads a model's weights onto the engine's host while the engine continues its other
	 * work.
	 *
	 * @param model the model
	 */
	record Stage(String model) implements EngineCommand {
	}

}
