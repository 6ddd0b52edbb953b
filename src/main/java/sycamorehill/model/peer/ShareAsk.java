package sycamorehill.model.peer;

import java.util.List;

/**
 * Asks another node to lend shares of workspace limits.
 *
 * @param number the sequence number within the incarnation of the asking node; the answer
 * contains it
 * @param scope where the asked node may look for shares that it cannot lend itself
 * @param wants the missing shares
 */
public record ShareAsk(long number, Scope scope, List<WorkspaceShare> wants) implements PeerMessage {

	/**
	 * Copies the list.
	 */
	public ShareAsk {
		wants = (wants != null) ? List.copyOf(wants) : List.of();
	}

	/**
	 * How far the asked node forwards an ask. An ask from another data centre is never
	 * forwarded to a third data centre; otherwise, two coordinators could forward it to
	 * each other and increase it each time.
	 */
	public enum Scope {

		/**
		 * From a node to the coordinator of its data centre, which asks its own nodes and
		 * other data centres.
		 */
		TO_COORDINATOR,

		/**
		 * From a coordinator to that of another data centre, which asks its own nodes
		 * only.
		 */
		TO_DATA_CENTRE,

		/**
		 * From a coordinator to a node of its data centre, which lends only its own
		 * unused share.
		 */
		TO_NODE

	}

}
