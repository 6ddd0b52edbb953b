package sycamorehill.model.group;

import java.util.List;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;

/**
 * One group in the allocation.
 *
 * @param identity name and generation
 * @param service what it answers
 * @param model the model it loads
 * @param modelVersion its version
 * @param members its VMs; the first is the head, which takes the requests
 * @param phase what is wanted of it
 * @param ticket the ticket that its shape follows
 * @param reason why it is in this phase, for readers
 */
public record GroupRecord(GroupIdentity identity, ServiceName service, String model, String modelVersion,
		List<VmName> members, GroupPhase phase, long ticket, String reason) {

	/**
	 * Takes a copy of the members.
	 */
	public GroupRecord {
		members = List.copyOf(members);
	}

	/**
	 * The member that takes the requests.
	 * @return the head
	 */
	public VmName head() {
		return this.members.get(0);
	}

}
