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
 */
public record GroupFacts(GroupIdentity identity, ServiceName service, Address address, List<VmName> members) {

	/**
	 * Takes a copy of the members.
	 */
	public GroupFacts {
		members = List.copyOf(members);
	}

}
