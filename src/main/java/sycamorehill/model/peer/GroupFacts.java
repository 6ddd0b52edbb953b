package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;

/**
 * What does not change within a generation of a group.
 *
 * @param identity the group and generation
 * @param service what it answers
 * @param address where its head takes requests
 * @param members its VMs, the head first
 * @param modelVersion the version of its model
 */
public record GroupFacts(GroupIdentity identity, ServiceName service, Address address, List<VmName> members,
		String modelVersion) {

	/**
	 * Takes a copy of the members; an older sender gives no version.
	 */
	public GroupFacts {
		members = List.copyOf(members);
		modelVersion = (modelVersion != null) ? modelVersion : "";
	}

}
