package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.Set;

import sycamorehill.model.identity.NodeName;

/**
 * The last report of another delegate of the same data centre about the same set of
 * members.
 *
 * @param heardAt the monotonic time of this node when it received the report
 * @param unheard the members from which the other delegate receives no heartbeats itself
 */
record DelegateReport(Instant heardAt, Set<NodeName> unheard) {

	/**
	 * Copies the set.
	 */
	DelegateReport {
		unheard = Set.copyOf(unheard);
	}

}
