package sycamorehill.logic.layout;

import java.time.Instant;

import sycamorehill.model.identity.TargetName;

/**
 * Tells the load of groups.
 */
public interface GroupActivity {

	/**
	 * Counts requests.
	 * @param head a group's head
	 * @param now the present time
	 * @return requests that the group has from all nodes, as far as it is known
	 */
	int requests(TargetName head, Instant now);

}
