package sycamorehill.logic.layout;

import java.time.Instant;

import sycamorehill.model.identity.TargetName;

/**
 * Provides the number of requests of a group.
 */
public interface GroupActivity {

	/**
	 * Returns the number of requests that a group has.
	 * @param head the head of the group
	 * @param now the current time
	 * @return the requests from all nodes, as far as this node knows
	 */
	int requests(TargetName head, Instant now);

}
