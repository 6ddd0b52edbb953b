package sycamorehill.model.peer;

import java.util.List;

/**
 * Asks another node to lend parts of workspace limits.
 *
 * @param number counts up within one life of the asking node; the answer repeats it
 * @param scope what the asked node does about what it can't lend itself
 * @param wants what is missing
 */
public record ShareAsk(long number, Scope scope, List<WorkspaceShare> wants) implements PeerMessage {

	/**
	 * Takes a copy of the list.
	 */
	public ShareAsk {
		wants = (wants != null) ? List.copyOf(wants) : List.of();
	}

	/**
	 * How far a want is passed on. Wants from another data centre are never passed on to
	 * a third, so that two coordinators can not pass a want to and fro and raise it each
	 * time.
	 */
	public enum Scope {

		/** From a node to its data centre's coordinator: look everywhere. */
		TO_COORDINATOR,

		/** From a coordinator to another data centre's: look in that data centre. */
		TO_DATA_CENTRE,

		/** From a coordinator to a node: lend what is at hand. */
		TO_NODE

	}

}
