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
 * @param failures failed loads since it last served
 */
public record GroupRecord(GroupIdentity identity, ServiceName service, String model, String modelVersion,
		List<VmName> members, GroupPhase phase, long ticket, String reason, int failures) {

	/**
	 * Takes a copy of the members.
	 */
	public GroupRecord {
		members = List.copyOf(members);
	}

	/**
	 * The same group in another phase.
	 * @param newPhase the phase
	 * @param newReason the reason, for readers
	 * @return the changed record
	 */
	public GroupRecord withPhase(GroupPhase newPhase, String newReason) {
		int failureCount = (newPhase == GroupPhase.SERVING) ? 0 : this.failures;
		return new GroupRecord(this.identity, this.service, this.model, this.modelVersion, this.members, newPhase,
				this.ticket, newReason, failureCount);
	}

	/**
	 * The member that takes the requests.
	 * @return the head
	 */
	public VmName head() {
		return this.members.get(0);
	}

}
