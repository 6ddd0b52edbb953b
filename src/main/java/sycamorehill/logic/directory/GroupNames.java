package sycamorehill.logic.directory;

import java.util.Optional;

/**
 * Creates and parses names of groups. A name contains the model, because an engine that
 * is still loading reports no model yet, and an epoch, so that no name is used twice.
 */
public final class GroupNames {

	private static final char SEPARATOR = '.';

	private GroupNames() {
	}

	/**
	 * Creates a name.
	 * @param model the group's model
	 * @param epoch the group's epoch
	 * @return the name
	 */
	public static String name(String model, long epoch) {
		return model + SEPARATOR + epoch;
	}

	static Optional<String> model(String group) {
		int separator = group.lastIndexOf(SEPARATOR);
		return (separator > 0) ? Optional.of(group.substring(0, separator)) : Optional.empty();
	}

}
