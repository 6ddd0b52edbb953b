package sycamorehill.model.group;

import java.util.List;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;

/**
 * A group in the allocation.
 *
 * @param identity the name and generation
 * @param service the service that the group serves
 * @param model the model that the group loads
 * @param modelVersion the version of the model
 * @param members the VMs of the group; the first is the head, which receives the requests
 * @param phase the phase of the group
 * @param ticket the number of the ticket whose specification the group follows
 * @param reason why the group is in this phase, for operators
 * @param failures the number of failed loads since the group last served
 */
public record GroupRecord(GroupIdentity identity, ServiceName service, String model, String modelVersion,
		List<VmName> members, GroupPhase phase, long ticket, String reason, int failures) {

	/**
	 * Copies the members.
	 */
	public GroupRecord {
		members = List.copyOf(members);
	}

	/**
	 * Returns this group in another phase. Reaching {@link GroupPhase#SERVING} resets the
	 * number of failed loads.
	 * @param newPhase the phase to set
	 * @param newReason the reason, for operators
	 * @return the changed record
	 */
	public GroupRecord withPhase(GroupPhase newPhase, String newReason) {
		int failureCount = (newPhase == GroupPhase.SERVING) ? 0 : this.failures;
		return new GroupRecord(this.identity, this.service, this.model, this.modelVersion, this.members, newPhase,
				this.ticket, newReason, failureCount);
	}

	/**
	 * Returns the member that receives the requests.
	 * @return the head
	 */
	public VmName head() {
		return this.members.get(0);
	}

}
