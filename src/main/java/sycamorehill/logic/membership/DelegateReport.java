package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.Set;

import sycamorehill.model.identity.NodeName;

/**
 * What another delegate of the own data centre has said last of the same set of members.
 *
 * @param heardAt own monotonic time of its word
 * @param unheard members that it has not heard itself
 */
record DelegateReport(Instant heardAt, Set<NodeName> unheard) {

	/**
	 * Takes a copy of the set.
	 */
	DelegateReport {
		unheard = Set.copyOf(unheard);
	}

}
