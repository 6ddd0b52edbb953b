package sycamorehill.model.serving;

import java.util.List;

import sycamorehill.model.identity.TargetName;

/**
 * An order to an engine.
 */
public sealed interface EngineCommand {

	/**
	 * The engine takes its place in a group and loads the model.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param model the group's model
	 * @param members all members, the head first
	 */
	record Join(String group, long epoch, String model, List<TargetName> members) implements EngineCommand {
	}

	/**
	 * The head of a ready group begins to take requests.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Open(String group, long epoch) implements EngineCommand {
	}

	/**
	 * The head takes no more requests and finishes those that it has.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Close(String group, long epoch) implements EngineCommand {
	}

	/**
	 * The engine leaves its group at once.
	 *
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record Leave(String group, long epoch) implements EngineCommand {
	}

	/**
	 * The engine's host loads the weights of a model beside all else.
	 *
	 * @param model the model
	 */
	record Stage(String model) implements EngineCommand {
	}

}
